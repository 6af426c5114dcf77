package io.jacinthquay.router.service.report;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.runtime.RepeatingTask;
import io.jacinthquay.runtime.Service;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs what a process holds while its heap is short, and now and then otherwise.
 *
 * <p>A process whose heap is full ends at once and can't log anything then: its last line of this
 * kind says what it held, and how many requests ended with it. A line a second at most.
 */
public final class MemoryWatch implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Time between two checks, in milliseconds. */
  private static final long CHECK_MILLIS = 1_000;

  /** Time between two lines while memory is not short, in nanoseconds. */
  private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Part of the heap in use, garbage included, from which it is short. */
  private static final double SHORT_SHARE = 0.85;

  /** Part of the time from which collections of garbage keep the process from its work. */
  private static final double BUSY_COLLECTOR_SHARE = 0.3;

  private static final long MIB = 1L << 20;

  private final ProcessMemory memory;
  private final MetricRegistry registry;
  private final List<String> gauges;
  private final RepeatingTask task = new RepeatingTask("memory-watch", this::step);
  private long checkedNanos = System.nanoTime();
  private long loggedNanos = checkedNanos;
  private long collectionMillis;

  /**
   * Returns a watch that has not started.
   *
   * @param gauges names of the gauges of the registry that are logged
   */
  public MemoryWatch(ProcessMemory memory, MetricRegistry registry, List<String> gauges) {
    this.memory = memory;
    this.registry = registry;
    this.gauges = List.copyOf(gauges);
  }

  @Override
  public void start() {
    task.start();
  }

  @Override
  public void stop() {
    task.stop();
    log.info("memory at the stop: {}", text(0));
  }

  private void step() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    try {
      check(System.nanoTime());
    } catch (RuntimeException e) {
      log.warn("cannot read the memory of the process", e);
    }
  }

  private void check(long nowNanos) {
    long collected = memory.collectionMillis();
    long millis = collected - collectionMillis;
    long elapsedMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(nowNanos - checkedNanos));
    collectionMillis = collected;
    checkedNanos = nowNanos;
    boolean isShort = isShort(memory.heapBytes(), memory.maxHeapBytes(), millis, elapsedMillis);
    if (isShort) {
      log.warn("memory is short: {}", text(millis));
    } else if (nowNanos - loggedNanos >= CALM_NANOS) {
      log.info("memory: {}", text(millis));
    } else {
      return;
    }
    loggedNanos = nowNanos;
  }

  /** Returns whether the heap is nearly full, or its collections take much of the time. */
  static boolean isShort(long heapBytes, long maxBytes, long collectionMillis, long elapsedMillis) {
    return heapBytes > SHORT_SHARE * maxBytes
        || collectionMillis > BUSY_COLLECTOR_SHARE * elapsedMillis;
  }

  private String text(long collectedMillis) {
    String process =
        "heap %d of %d MiB, collections %d ms, direct %d MiB, resident %d MiB (peak %d), %d threads"
            .formatted(
                memory.heapBytes() / MIB,
                memory.maxHeapBytes() / MIB,
                collectedMillis,
                memory.directBytes() / MIB,
                memory.residentBytes() / MIB,
                memory.peakResidentBytes() / MIB,
                memory.threads());
    return gauges.stream()
        .map(name -> name + "=" + value(name))
        .collect(Collectors.joining(" ", process + "; ", ""));
  }

  private Object value(String name) {
    Gauge<?> gauge = registry.getGauges().get(name);
    return gauge == null ? "-" : gauge.getValue();
  }
}
