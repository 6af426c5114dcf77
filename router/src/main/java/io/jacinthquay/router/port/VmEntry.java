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
 * One entry of the platform's list of VMs.
 *
 * @param name the id of the VM
 * @param domain the failure domain of the VM
 * @param address the address that it listens on
 * @param kind the kind of VM
 * @param pool the pool that it belongs to; absent for entry VMs
 * @param leaving whether the platform is about to remove the VM
 * @param cheap whether the VM is preemptible, that is, may be removed at any time
 * @param models the models that it serves
 * @param floor concurrent requests that it can serve right after its start, 1 or more
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
    /** An entry VM, which runs this system itself. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN
  }

  /**
   * Copies the models and checks the range.
   *
   * @throws IllegalArgumentException if {@code floor} is below 1
   * @throws NullPointerException if a component is null
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
