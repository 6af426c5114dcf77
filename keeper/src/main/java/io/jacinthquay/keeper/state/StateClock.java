package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.Stamp;

/**
 * The logical time of the state machine, derived from the stamps of its commands.
 *
 * <p>The clock measures elapsed time. It may lag behind real time but never runs ahead of it: a
 * leader continues from the clock that it finds in the state. A stamp of an older term than the
 * newest one seen is ignored, because its base may be older than a lease granted in the newer term.
 *
 * @param term newest term whose stamp was applied
 * @param millis elapsed time in milliseconds; never decreases
 * @param wallMillis wall clock in milliseconds since the epoch; never decreases
 */
public record StateClock(long term, long millis, long wallMillis) {
  /** The clock before any command. */
  public static final StateClock START = new StateClock(0, 0, 0);

  /** Returns the clock after a command with a stamp. */
  StateClock advance(Stamp stamp) {
    if (stamp == null || stamp.getTerm() < term) {
      return this;
    }
    return new StateClock(
        stamp.getTerm(),
        Math.max(millis, stamp.getClockMillis()),
        Math.max(wallMillis, stamp.getWallMillis()));
  }

  /** Returns the clock as a stamp, for snapshots. */
  Stamp toStamp() {
    return new Stamp(term, millis, wallMillis);
  }
}
