package io.jacinthquay.decision.slots;

/** Detects duplicate messages by their sequence numbers. */
final class ReplayWindow {
  /** Number of sequence numbers kept; a power of two. */
  private static final int SIZE = 4096;

  private final long[] seen = new long[SIZE];

  /** Adds a sequence number and returns whether it is new; one before the window is not new. */
  boolean accept(long sequence) {
    int index = (int) (sequence & (SIZE - 1));
    if (seen[index] >= sequence) {
      return false;
    }
    seen[index] = sequence;
    return true;
  }
}
