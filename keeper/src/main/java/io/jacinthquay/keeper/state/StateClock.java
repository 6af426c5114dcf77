package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.Stamp;

/**
 * The time that the state machine goes by, taken from the stamps of its commands.
 *
 * <p>The clock counts elapsed time and may lag behind real time, but never runs ahead of it: a
 * leader counts on from the clock that it found, and a stamp of an older term than the newest seen
 * is ignored because its base may be older than a grant of the newer term.
 *
 * @param term newest term whose stamp was taken
 * @param millis elapsed time in milliseconds; never goes back
 * @param wallMillis wall clock in milliseconds since the epoch; never goes back
 */
public record StateClock(long term, long millis, long wallMillis) {
  /** The clock before any command. */
  public static final StateClock START = new StateClock(0, 0, 0);

  /** Returns the clock after a command. */
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
