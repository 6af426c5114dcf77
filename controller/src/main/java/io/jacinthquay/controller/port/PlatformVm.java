package io.jacinthquay.controller.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;
import java.util.Optional;

/**
 * A VM in the platform's list.
 *
 * @param name the name of the VM
 * @param domain the failure domain of the VM
 * @param pool the pool of the VM; empty for entry VMs
 * @param address the address on which it listens, as {@code ip:port}
 * @param cheap whether the platform may take it away at any time
 * @param leaving whether the platform is about to remove it
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
