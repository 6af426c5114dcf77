package io.jacinthquay.control.service;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/** The relays that called the leader recently, by failure domain. */
public final class RelayDirectory {
  /**
   * Time without a call after which a relay is no longer returned, in nanoseconds; a relay calls
   * several times in it.
   */
  private static final long EXPIRY_NANOS = 500_000_000L;

  /**
   * Number of routers from which relays are used; fewer routers call the leader directly, which has
   * a lower delay.
   */
  static final int MIN_ROUTERS = 30;

  private record Call(String address, long atNanos) {}

  private final LongSupplier clock;
  private final Map<String, Call> lastCalls = new HashMap<>();

  /** Returns an empty directory over a monotonic clock in nanoseconds. */
  public RelayDirectory(LongSupplier clock) {
    this.clock = clock;
  }

  /** Records a call by the relay of a failure domain. */
  public synchronized void recordCall(String domain, String address) {
    lastCalls.put(domain, new Call(address, clock.getAsLong()));
  }

  /**
   * Returns the address of the relay that a router should call; empty if it should call the leader.
   *
   * @param domain failure domain of the router
   * @param routers number of routers
   */
  public synchronized Optional<String> relayFor(String domain, int routers) {
    long now = clock.getAsLong();
    return Optional.ofNullable(lastCalls.get(domain))
        .filter(call -> routers >= MIN_ROUTERS && now - call.atNanos() < EXPIRY_NANOS)
        .map(Call::address);
  }
}
