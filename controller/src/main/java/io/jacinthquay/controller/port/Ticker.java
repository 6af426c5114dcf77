package io.jacinthquay.controller.port;

/** Reads the clocks of the VM. */
public interface Ticker {
  /** The clocks of the Java runtime. */
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

  /** Returns the monotonic clock, in nanoseconds from an arbitrary origin. */
  long nanos();

  /** Returns the wall clock, in milliseconds since the epoch. */
  long wallMillis();
}
