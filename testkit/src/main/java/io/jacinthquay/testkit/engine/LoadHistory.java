package io.jacinthquay.testkit.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Reports the load as it was {@code reportLag} ago. */
final class LoadHistory {
  private record Sample(long measuredNanos, String json) {}

  private final EngineOptions options;
  private final Batch batch;
  private final Deque<Sample> samples = new ArrayDeque<>();

  LoadHistory(EngineOptions options, Batch batch) {
    this.options = options;
    this.batch = batch;
  }

  /** Returns the newest sample that is old enough, or else the oldest sample. */
  synchronized String json() {
    long nowNanos = System.nanoTime();
    samples.addLast(new Sample(nowNanos, loadJson()));
    long latestNanos = nowNanos - options.reportLag().toNanos();
    Sample reported = samples.peekFirst();
    while (samples.size() > 1 && samples.peekFirst().measuredNanos() <= latestNanos) {
      reported = samples.pollFirst();
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - reported.measuredNanos());
    return reported.json()
        + ",\"measured_at_ms\":"
        + (System.currentTimeMillis() - ageMillis)
        + "}";
  }

  private String loadJson() {
    int running = batch.running();
    double kvUsed = Math.min(1.0, (double) running / options.limit());
    return String.format(
        Locale.ROOT,
        "{\"running\":%d,\"waiting\":%d,\"limit\":%d,\"floor\":%d,\"kv_used\":%.3f,"
            + "\"models\":[],\"warm\":%b",
        running,
        batch.waiting(),
        options.limit(),
        options.floor(),
        kvUsed,
        batch.isWarm());
  }
}
