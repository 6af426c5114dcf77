package io.jacinthquay.decision.slots;

/** Remembers which of the latest sequence numbers have been seen. */
final class ReplayWindow {
  private static final int SIZE = 4096;

  private final long[] seen = new long[SIZE];

  /** Takes in a number and returns whether it is new; one that is too old counts as seen. */
  boolean accept(long sequence) {
    int place = (int) (sequence & (SIZE - 1));
    if (seen[place] >= sequence) {
      return false;
    }
    seen[place] = sequence;
    return true;
  }
}
