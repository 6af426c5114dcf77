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
 * ledger.record(new SloKey(className, customer), classPolicy, sample, nowMillis);
 * SloSnapshot snapshot = ledger.snapshot(nowMillis);
 * }</pre>
 *
 * <p>Requests that are the caller's own fault, or that the caller abandoned, are not recorded. A
 * key takes about 1.5 KB, a class with its histograms about 50 KB. Safe for use by many threads.
 */
public final class SloLedger {
  private static final int HISTOGRAM_DIGITS = 2;

  private final Map<SloKey, Map<BurnWindow, TallyRing>> rings = new HashMap<>();
  private final Map<ClassName, Latencies> latencies = new HashMap<>();

  /** The histograms of one class, in microseconds. */
  private record Latencies(Histogram firstToken, Histogram interToken) {}

  /**
   * Records a request.
   *
   * @param key the class and customer
   * @param policy the targets of the class
   * @param sample what the request experienced
   * @param nowMillis the wall clock, in milliseconds since the epoch
   * @return whether the targets were met
   */
  public synchronized boolean record(
      SloKey key, ClassPolicy policy, SloSample sample, long nowMillis) {
    boolean met = sample.meets(policy);
    rings.computeIfAbsent(key, k -> newRings()).values().forEach(ring -> ring.add(met, nowMillis));
    if (sample.firstTokenMicros() > 0) {
      Latencies times = latencies.computeIfAbsent(key.className(), c -> newLatencies());
      times.firstToken().recordValue(sample.firstTokenMicros());
      if (sample.interTokenMicros() > 0) {
        times.interToken().recordValue(sample.interTokenMicros());
      }
    }
    return met;
  }

  private static Map<BurnWindow, TallyRing> newRings() {
    Map<BurnWindow, TallyRing> rings = new EnumMap<>(BurnWindow.class);
    for (BurnWindow window : BurnWindow.values()) {
      rings.put(window, new TallyRing(window));
    }
    return rings;
  }

  private static Latencies newLatencies() {
    return new Latencies(new Histogram(HISTOGRAM_DIGITS), new Histogram(HISTOGRAM_DIGITS));
  }

  /**
   * Returns a copy of all counts.
   *
   * @param nowMillis the wall clock, in milliseconds since the epoch
   */
  public synchronized SloSnapshot snapshot(long nowMillis) {
    SloSnapshot.Builder builder = SloSnapshot.builder();
    rings.forEach(
        (key, windows) ->
            windows.forEach((window, ring) -> builder.add(key, window, ring.sum(nowMillis))));
    latencies.forEach((name, times) -> builder.add(name, times.firstToken(), times.interToken()));
    return builder.build();
  }
}
