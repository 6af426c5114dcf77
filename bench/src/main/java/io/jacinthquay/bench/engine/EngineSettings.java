package io.jacinthquay.bench.engine;

import java.time.Duration;

/**
 * The speed and capacity of a simulated model engine.
 *
 * @param batchLimit largest number of requests in the batch, at least 1
 * @param stepNanos time of an empty step, in nanoseconds
 * @param sequenceNanos time that each request in the batch adds to a step, in nanoseconds
 * @param promptTokenNanos time to prefill one prompt token, in nanoseconds
 * @param prefillChunkTokens largest number of prompt tokens computed in one step (chunked prefill)
 * @param cacheBlocks capacity of the prefix cache, in blocks
 * @param warmUpNanos time after a start until the concurrency limit reaches the full batch, in
 *     nanoseconds
 * @param startLimit concurrency limit right after a start, at least 1
 */
public record EngineSettings(
    int batchLimit,
    long stepNanos,
    long sequenceNanos,
    long promptTokenNanos,
    int prefillChunkTokens,
    int cacheBlocks,
    long warmUpNanos,
    int startLimit) {
  /** Returns the default settings. */
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

  /** Returns the time of a step with a number of requests and no prefill, in nanoseconds. */
  public long stepNanos(int sequences) {
    return stepNanos + sequences * sequenceNanos;
  }
}
