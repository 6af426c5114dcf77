package io.jacinthquay.router.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One upstream of the platform's list.
 *
 * @param name the upstream
 * @param domain its failure domain
 * @param address where it listens
 * @param kind what it is
 * @param pool the pool that it belongs to; absent for entry VMs
 * @param leaving whether the platform is about to take it away
 * @param cheap whether it may vanish at any time
 * @param models the models that it serves
 * @param floor requests that it bears at one time just after its start, 1 or more
 */
public record VmEntry(
    UpstreamId name,
    DomainId domain,
    InetSocketAddress address,
    Kind kind,
    Optional<PoolName> pool,
    boolean leaving,
    boolean cheap,
    List<ModelName> models,
    int floor) {
  /** The kinds of VM. */
  public enum Kind {
    /** Runs the system itself. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN
  }

  /**
   * Copies the list and checks the range.
   *
   * @throws IllegalArgumentException if {@code floor} is below 1
   * @throws NullPointerException if a part is missing
   */
  public VmEntry {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(pool, "pool");
    models = List.copyOf(models);
    if (floor < 1) {
      throw new IllegalArgumentException("floor must be 1 or more");
    }
  }
}
