package io.jacinthquay.testkit.platform;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * A VM or an upstream in the platform's list.
 *
 * @param name the name of the VM or upstream
 * @param domain its failure domain
 * @param address where it listens
 * @param kind {@code entry}, {@code engine} or {@code plain}
 * @param pool the pool; empty for entry VMs
 * @param leaving whether it is about to be removed
 * @param cheap whether the platform may reclaim it at any time
 * @param models the models that it serves
 * @param floor its concurrency limit just after its start, in requests
 */
public record FakeVm(
    String name,
    String domain,
    InetSocketAddress address,
    String kind,
    String pool,
    boolean leaving,
    boolean cheap,
    List<String> models,
    int floor) {
  /**
   * Checks that all components are present and copies the list of models.
   *
   * @throws NullPointerException if a component is null
   */
  public FakeVm {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(pool, "pool");
    models = List.copyOf(models);
  }

  /** Returns a live regular engine. */
  public static FakeVm engine(String name, String domain, String pool, InetSocketAddress address) {
    return new FakeVm(name, domain, address, "engine", pool, false, false, List.of(), 1);
  }

  /** Returns a live plain service. */
  public static FakeVm plain(String name, String domain, String pool, InetSocketAddress address) {
    return new FakeVm(name, domain, address, "plain", pool, false, false, List.of(), 1);
  }

  /** Returns this VM, listed as leaving. */
  public FakeVm asLeaving() {
    return new FakeVm(name, domain, address, kind, pool, true, cheap, models, floor);
  }

  /** Returns this VM with another floor. */
  public FakeVm withFloor(int newFloor) {
    return new FakeVm(name, domain, address, kind, pool, leaving, cheap, models, newFloor);
  }
}
