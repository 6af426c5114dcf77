package io.jacinthquay.keeper.state;

import java.util.Objects;

/**
 * A lease, held or free.
 *
 * @param name the name of the lease
 * @param holder the current holder, or the last one if the lease is free
 * @param fencingToken the fencing token of the latest grant, 1 or more
 * @param expiresMillis when the lease may be granted to another holder, in milliseconds on the
 *     {@link StateClock}; 0 once released
 */
public record Lease(String name, String holder, long fencingToken, long expiresMillis) {
  /** Checks that neither name is null. */
  public Lease {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(holder, "holder");
  }

  /** Returns whether the lease is held at a time in milliseconds on the {@link StateClock}. */
  public boolean heldAt(long millis) {
    return millis < expiresMillis;
  }
}
