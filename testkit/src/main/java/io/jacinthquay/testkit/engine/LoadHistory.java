package io.jacinthquay.testkit.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Reports the load as it was some time ago. */
final class LoadHistory {
  private record Sample(long takenNanos, String json) {}

  private final EngineOptions options;
  private final Batch batch;
  private final Deque<Sample> samples = new ArrayDeque<>();

  LoadHistory(EngineOptions options, Batch batch) {
    this.options = options;
    this.batch = batch;
  }

  /** Returns the newest sample that is old enough; the first sample counts as old. */
  synchronized String json() {
    long now = System.nanoTime();
    samples.addLast(new Sample(now, sample()));
    long newest = now - options.reportLag().toNanos();
    Sample shown = samples.peekFirst();
    while (samples.size() > 1 && samples.peekFirst().takenNanos() <= newest) {
      shown = samples.pollFirst();
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(now - shown.takenNanos());
    return shown.json() + ",\"measured_at_ms\":" + (System.currentTimeMillis() - ageMillis) + "}";
  }

  private String sample() {
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
