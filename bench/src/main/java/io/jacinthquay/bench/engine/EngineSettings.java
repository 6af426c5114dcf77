package io.jacinthquay.bench.engine;

import java.time.Duration;

/**
 * The speed and size of a model engine.
 *
 * @param batchLimit most requests in the batch, at least 1
 * @param stepNanos time of an empty step, in nanoseconds
 * @param sequenceNanos time that each request in the batch adds to a step, in nanoseconds
 * @param promptTokenNanos time to compute one prompt token, in nanoseconds
 * @param chunkTokens most prompt tokens computed in one step
 * @param cacheBlocks blocks of the prefix cache
 * @param warmUpNanos time over which a fresh engine grows to its full batch, in nanoseconds
 * @param freshLimit requests that a fresh engine bears, at least 1
 */
public record EngineSettings(
    int batchLimit,
    long stepNanos,
    long sequenceNanos,
    long promptTokenNanos,
    int chunkTokens,
    int cacheBlocks,
    long warmUpNanos,
    int freshLimit) {
  /** Returns an engine of today's size. */
  public static EngineSettings defaults() {
    return new EngineSettings(
        32,
        Duration.ofMillis(10).toNanos(),
        Duration.ofNanos(600_000).toNanos(),
        Duration.ofNanos(50_000).toNanos(),
        512,
        2_000,
        Duration.ofSeconds(30).toNanos(),
        2);
  }

  /** Returns the time of an ordinary step with a number of requests, in nanoseconds. */
  public long stepNanos(int sequences) {
    return stepNanos + sequences * sequenceNanos;
  }
}
