package io.jacinthquay.decision.slo;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Counts, for one router, which requests met the targets of their class.
 *
 * <pre>{@code
 * recorder.record(new SloKey(className, customer), classPolicy, sample, nowMillis);
 * SloSnapshot snapshot = recorder.snapshot(nowMillis);
 * }</pre>
 *
 * <p>Requests that failed through the caller's fault or that the caller cancelled must not be
 * recorded. A key takes about 1.5 KB, a class with its histograms about 50 KB. Thread-safe.
 */
public final class SloRecorder {
  /** Precision of the histograms, in significant decimal digits. */
  private static final int HISTOGRAM_DIGITS = 2;

  private final Map<SloKey, Map<BurnWindow, WindowCounter>> counters = new HashMap<>();
  private final Map<ClassName, Latencies> latencies = new HashMap<>();

  /** The latency histograms of one class, in microseconds. */
  private record Latencies(Histogram firstToken, Histogram interToken) {}

  /**
   * Records a request.
   *
   * @param key the class and customer
   * @param policy the targets of the class
   * @param sample the measurements of the request
   * @param nowMillis the wall-clock time, in milliseconds since the epoch
   * @return whether the targets were met
   */
  public synchronized boolean record(
      SloKey key, ClassPolicy policy, SloSample sample, long nowMillis) {
    boolean met = sample.meets(policy);
    counters
        .computeIfAbsent(key, k -> newCounters())
        .values()
        .forEach(counter -> counter.add(met, nowMillis));
    if (sample.firstTokenMicros() > 0) {
      Latencies times = latencies.computeIfAbsent(key.className(), c -> newLatencies());
      times.firstToken().recordValue(sample.firstTokenMicros());
      if (sample.interTokenMicros() > 0) {
        times.interToken().recordValue(sample.interTokenMicros());
      }
    }
    return met;
  }

  private static Map<BurnWindow, WindowCounter> newCounters() {
    Map<BurnWindow, WindowCounter> counters = new EnumMap<>(BurnWindow.class);
    for (BurnWindow window : BurnWindow.values()) {
      counters.put(window, new WindowCounter(window));
    }
    return counters;
  }

  private static Latencies newLatencies() {
    return new Latencies(new Histogram(HISTOGRAM_DIGITS), new Histogram(HISTOGRAM_DIGITS));
  }

  /**
   * Returns a copy of all counts.
   *
   * @param nowMillis the wall-clock time, in milliseconds since the epoch
   */
  public synchronized SloSnapshot snapshot(long nowMillis) {
    SloSnapshot.Builder builder = SloSnapshot.builder();
    counters.forEach(
        (key, windows) ->
            windows.forEach((window, counter) -> builder.add(key, window, counter.sum(nowMillis))));
    latencies.forEach((name, times) -> builder.add(name, times.firstToken(), times.interToken()));
    return builder.build();
  }
}
