package io.jacinthquay.controller.port;

/** Reads the monotonic clock and the wall clock of this VM. */
public interface Ticker {
  /** Reads the clocks of the Java runtime. */
  Ticker SYSTEM =
      new Ticker() {
        @Override
        public long nanos() {
          return System.nanoTime();
        }

        @Override
        public long wallMillis() {
          return System.currentTimeMillis();
        }
      };

  /** Returns the time of the monotonic clock, in nanoseconds from an arbitrary origin. */
  long nanos();

  /** Returns the time of the wall clock, in milliseconds since the epoch. */
  long wallMillis();
}
