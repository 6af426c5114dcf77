package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.ElectionEvent;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts the events of elections and logs them, at most one line a second of each kind and peer.
 *
 * <p>A group without a leader shows here whether its replicas stand for election, and who refuses
 * to vote and why. Events are recorded on one thread at a time; counts may be read on any.
 */
final class ElectionMonitor {
  private static final Logger log = LogManager.getLogger();

  /** Shortest time between two lines of one kind and peer, in nanoseconds. */
  private static final long LINE_INTERVAL_NANOS = 1_000_000_000L;

  private record LineKey(ElectionEvent.Kind kind, ReplicaId peer) {}

  private final LongSupplier clock;
  private final Map<ElectionEvent.Kind, LongAdder> counts = new EnumMap<>(ElectionEvent.Kind.class);
  private final Map<LineKey, Long> lineNanos = new HashMap<>();

  /** Returns a monitor without events over a monotonic clock in nanoseconds. */
  ElectionMonitor(LongSupplier clock) {
    this.clock = clock;
    for (ElectionEvent.Kind kind : ElectionEvent.Kind.values()) {
      counts.put(kind, new LongAdder());
    }
  }

  /** Records an event at a replica. */
  void record(ReplicaId self, ElectionEvent event) {
    counts.get(event.kind()).increment();
    long now = clock.getAsLong();
    LineKey key = new LineKey(event.kind(), event.peer());
    Long last = lineNanos.get(key);
    if (last == null || now - last >= LINE_INTERVAL_NANOS) {
      // Replicas that are gone for good would otherwise stay here.
      lineNanos.values().removeIf(since -> now - since >= LINE_INTERVAL_NANOS);
      lineNanos.put(key, now);
      log.info(
          "election: {} at replica {} for {} in term {}: {}",
          event.kind().label(),
          self,
          event.peer(),
          event.term(),
          event.detail());
    }
  }

  /** Returns how often each kind has occurred since the process started. */
  Map<ElectionEvent.Kind, Long> counts() {
    Map<ElectionEvent.Kind, Long> sums = new EnumMap<>(ElectionEvent.Kind.class);
    counts.forEach((kind, count) -> sums.put(kind, count.sum()));
    return sums;
  }
}
