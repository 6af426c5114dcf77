package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Objects;

/**
 * A change of an upstream's prefix cache; it may arrive late, and events before it may be lost.
 *
 * @param upstream the upstream
 * @param sequence counts the upstream's events from 1
 * @param cleared whether the cache was emptied before the blocks were stored
 * @param stored hashes of blocks that were stored
 * @param removed hashes of blocks that were evicted
 */
public record CacheEvent(
    UpstreamId upstream, long sequence, boolean cleared, List<Long> stored, List<Long> removed) {
  /**
   * Copies the lists.
   *
   * @throws IllegalArgumentException if {@code sequence} is below 1
   * @throws NullPointerException if a part is missing
   */
  public CacheEvent {
    Objects.requireNonNull(upstream, "upstream");
    if (sequence < 1) {
      throw new IllegalArgumentException("events are counted from 1");
    }
    stored = List.copyOf(stored);
    removed = List.copyOf(removed);
  }
}
