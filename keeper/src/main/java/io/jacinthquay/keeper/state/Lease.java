package io.jacinthquay.keeper.state;

import java.util.Objects;

/**
 * One lease, held or free.
 *
 * @param name the lease
 * @param holder who holds it or held it last
 * @param fencing the number of the newest grant, 1 or more
 * @param expiresMillis when another holder may get it, on the {@link StateClock}; 0 once released
 */
public record Lease(String name, String holder, long fencing, long expiresMillis) {
  /** Checks that the names are present. */
  public Lease {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(holder, "holder");
  }

  /** Returns whether the lease is held at a time on the {@link StateClock}. */
  public boolean heldAt(long millis) {
    return millis < expiresMillis;
  }
}
