package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Objects;

/**
 * A change in an upstream's prefix cache. Events may arrive late or be lost.
 *
 * @param upstream the upstream
 * @param sequence sequence number of the event on its upstream, from 1
 * @param cleared whether the cache was cleared before the blocks were stored
 * @param stored hashes of the stored blocks
 * @param removed hashes of the evicted blocks
 */
public record CacheEvent(
    UpstreamId upstream, long sequence, boolean cleared, List<Long> stored, List<Long> removed) {
  /**
   * Copies the lists.
   *
   * @throws IllegalArgumentException if {@code sequence} is below 1
   * @throws NullPointerException if a component is null
   */
  public CacheEvent {
    Objects.requireNonNull(upstream, "upstream");
    if (sequence < 1) {
      throw new IllegalArgumentException("sequence must be at least 1");
    }
    stored = List.copyOf(stored);
    removed = List.copyOf(removed);
  }
}
