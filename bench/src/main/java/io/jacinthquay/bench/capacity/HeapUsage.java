package io.jacinthquay.bench.capacity;

/** Measures how much of the heap is in use. */
final class HeapUsage {
  /** Garbage collections before each reading, so that unreachable objects do not count. */
  private static final int GC_RUNS = 4;

  private HeapUsage() {}

  /** Returns the bytes of the heap that reachable objects use. */
  static long usedBytes() {
    for (int i = 0; i < GC_RUNS; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
