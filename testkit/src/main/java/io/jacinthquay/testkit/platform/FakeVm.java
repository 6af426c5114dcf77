package io.jacinthquay.testkit.platform;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * One line of the platform's list.
 *
 * @param name the VM or upstream
 * @param domain its failure domain
 * @param address where it listens
 * @param kind {@code entry}, {@code engine} or {@code plain}
 * @param pool the pool; empty for entry VMs
 * @param leaving whether it is about to go
 * @param cheap whether it may vanish at any time
 * @param models the models that it serves
 * @param floor requests that it bears at one time just after its start
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
   * Copies the list.
   *
   * @throws NullPointerException if a part is missing
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

  /** Returns this VM as it is listed when it is about to go. */
  public FakeVm asLeaving() {
    return new FakeVm(name, domain, address, kind, pool, true, cheap, models, floor);
  }

  /** Returns this VM with another floor. */
  public FakeVm withFloor(int newFloor) {
    return new FakeVm(name, domain, address, kind, pool, leaving, cheap, models, newFloor);
  }
}
