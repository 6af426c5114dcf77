package io.jacinthquay.controller.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;
import java.util.Optional;

/**
 * One entry of the platform's list.
 *
 * @param name the VM
 * @param domain its failure domain
 * @param pool its pool; empty for entry VMs
 * @param address where it listens, as {@code ip:port}
 * @param cheap whether it may vanish at any time
 * @param leaving whether the platform is about to take it away
 */
public record PlatformVm(
    UpstreamId name,
    DomainId domain,
    Optional<PoolName> pool,
    String address,
    boolean cheap,
    boolean leaving) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public PlatformVm {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(address, "address");
  }
}
