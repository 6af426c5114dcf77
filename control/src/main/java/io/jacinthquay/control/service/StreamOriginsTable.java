package io.jacinthquay.control.service;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.runtime.LogThrottle;
import io.jacinthquay.wire.convert.OriginMessages;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The leader's memory of which versions began streams, from the reports of all routers.
 *
 * <p>Handles the loss of all routers at once. It is not replicated: routers that live report again
 * to a new leader, which tells them so by its epoch. Thread-safe.
 */
public final class StreamOriginsTable {
  private static final Logger log = LogManager.getLogger();

  /** Maximum number of streams, about 15 MB: 1,000 new ones a second over all routers. */
  static final int MAX_STREAMS = 65_536;

  /** Maximum number of streams of one router, as many as it remembers itself. */
  static final int MAX_STREAMS_PER_ROUTER = 8_192;

  /**
   * Time for which routers may not have reported to a new leader, in nanoseconds: a read that waits
   * for the former leader ends after 700 ms, and two exchanges take 300 ms each with many routers.
   */
  static final long RECOVERY_NANOS = 1_500_000_000L;

  /** Maximum number of pools and versions that are held once; more are rather held twice. */
  private static final int MAX_SHARED_VALUES = 1_024;

  private record Software(PoolName pool, SoftwareVersion version) {}

  private final LongSupplier clock;
  private final LongSupplier term;
  private final OriginTable table;
  private final Map<Software, Software> sharedValues = new HashMap<>();
  private final LogThrottle lines;
  private final Counter recorded = new Counter();
  private final Counter dropped = new Counter();
  private final Counter invalid = new Counter();
  private long currentTerm = -1;
  private long termSinceNanos;
  private long epoch;

  /**
   * Returns an empty table.
   *
   * @param clock monotonic, in nanoseconds
   * @param term returns the term of the log
   */
  public StreamOriginsTable(LongSupplier clock, LongSupplier term) {
    this.clock = clock;
    this.term = term;
    long now = clock.getAsLong();
    this.table = new OriginTable(MAX_STREAMS, MAX_STREAMS_PER_ROUTER, now);
    this.lines = new LogThrottle(now);
  }

  /** Registers the metrics; docs/METRICS.md lists them. */
  public void register(MetricRegistry registry) {
    registry.gauge("jq_control_stream_origins", () -> this::size);
    registry.gauge("jq_control_stream_origins_recorded_total", () -> recorded::getCount);
    registry.gauge("jq_control_stream_origins_dropped_total", () -> dropped::getCount);
    registry.gauge("jq_control_stream_origins_invalid_total", () -> invalid::getCount);
  }

  /** Returns the number of streams that are held. */
  public synchronized int size() {
    return table.size();
  }

  /** Records the streams that a router reports. */
  public synchronized void recordReport(RouterReportMessage report) {
    beginTerm();
    for (StreamOriginMessage message : report.getOrigins()) {
      try {
        record(report.getRouter(), OriginMessages.toOrigin(message));
      } catch (IllegalArgumentException e) {
        invalid.inc();
        logLine(report.getRouter(), e.getMessage());
      }
    }
  }

  private void record(String router, OriginTable.Aged reported) {
    OriginTable.Result result =
        table.record(shared(reported.origin()), router, reported.ageMillis(), clock.getAsLong());
    if (result == OriginTable.Result.RECORDED) {
      recorded.inc();
    } else if (result == OriginTable.Result.FULL) {
      dropped.inc();
      logLine(router, "no room");
    }
  }

  /** Returns an origin that shares the texts of others, which a message holds anew each time. */
  private StreamOrigin shared(StreamOrigin origin) {
    if (sharedValues.size() >= MAX_SHARED_VALUES) {
      sharedValues.clear();
    }
    Software software =
        sharedValues.computeIfAbsent(new Software(origin.pool(), origin.version()), value -> value);
    return new StreamOrigin(origin.stream(), software.pool(), software.version());
  }

  /** Returns the origin of a stream, if a router has reported it. */
  public synchronized Optional<OriginTable.Aged> find(StreamId stream) {
    return table.find(stream, clock.getAsLong());
  }

  /**
   * Returns the epoch of the current term. What was remembered in former terms is kept, but may
   * lack streams that were meanwhile reported elsewhere.
   */
  public synchronized long epoch() {
    beginTerm();
    return epoch;
  }

  /** Returns whether routers may not have reported all their streams to this leader yet. */
  public synchronized boolean isRecovering() {
    beginTerm();
    return clock.getAsLong() - termSinceNanos < RECOVERY_NANOS;
  }

  private void beginTerm() {
    long newTerm = term.getAsLong();
    if (newTerm != currentTerm) {
      currentTerm = newTerm;
      termSinceNanos = clock.getAsLong();
      epoch = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
    }
  }

  private void logLine(String router, String reason) {
    if (lines.tryAcquire(clock.getAsLong())) {
      log.warn(
          "a stream that router {} reported is not remembered ({}); {} without room, {} invalid"
              + " since the start",
          router,
          reason,
          dropped.getCount(),
          invalid.getCount());
    }
  }
}
