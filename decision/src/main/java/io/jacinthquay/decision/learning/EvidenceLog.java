package io.jacinthquay.decision.learning;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.model.UpstreamId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What this router has observed of each upstream, as sums that decay.
 *
 * <p>Answers outliers and stalls: no observation counts as more than four times or less than a
 * quarter of the time that was expected. A response that fails is no observation of speed, since an
 * engine that fails at once would look fast. Not thread-safe.
 */
public final class EvidenceLog {
  /** Largest factor between an observed time that counts and the expected one. */
  private static final double MAX_FACTOR = 4;

  /**
   * Prompt tokens whose observation counts half; the time of a smaller prompt is mostly that of
   * decoding steps and of the network.
   */
  private static final double HALF_WEIGHT_TOKENS = 500;

  /**
   * Most upstreams in one report; those with the least observation time are left out. 64 entries
   * take about 5 KB of the 6 KB of a report.
   */
  private static final int MAX_REPORTED = 64;

  /** Sums of one upstream as of a point in time. */
  private static final class Sums {
    private UpstreamEvidence evidence = UpstreamEvidence.NONE;
    private long atNanos;

    UpstreamEvidence at(long now) {
      long elapsed = Math.max(0, now - atNanos);
      return evidence.times(UpstreamEvidence.decay(elapsed));
    }

    void add(UpstreamEvidence observed, long now) {
      evidence = at(now).plus(observed);
      atNanos = now;
    }
  }

  private final Map<UpstreamId, Sums> sums = new HashMap<>();

  /**
   * Records that an engine sent the first event of a stream.
   *
   * @param tokens prompt tokens that were ahead of the request and in it
   * @param millis time since it was sent, without the share that doesn't depend on the prompt
   * @param expectedRate the rate that was expected, in tokens per millisecond
   */
  public void recordFirstEvent(
      UpstreamId upstream, double tokens, double millis, double expectedRate, long now) {
    double weight = tokens / (tokens + HALF_WEIGHT_TOKENS);
    if (weight > 0) {
      double counted = bounded(millis, tokens / expectedRate);
      add(upstream, new UpstreamEvidence(weight * tokens, weight * counted, 0, 0, 0, 0), now);
    }
  }

  /**
   * Records output tokens that arrived while an engine had prompts to read, or one call of a plain
   * service.
   *
   * @param tokens output tokens, 1 for a call
   * @param millis time that they took
   * @param expectedMillis the time that was expected
   */
  public void recordOutput(
      UpstreamId upstream, double tokens, double millis, double expectedMillis, long now) {
    double counted = bounded(millis, expectedMillis);
    add(upstream, new UpstreamEvidence(0, 0, tokens, counted, 0, 0), now);
  }

  /**
   * Records that a request ended.
   *
   * @param onTarget whether it was answered as fast as is usual for the upstream
   */
  public void recordEnd(UpstreamId upstream, boolean onTarget, long now) {
    add(upstream, new UpstreamEvidence(0, 0, 0, 0, onTarget ? 1 : 0, onTarget ? 0 : 1), now);
  }

  private static double bounded(double millis, double expectedMillis) {
    return Math.min(Math.max(millis, expectedMillis / MAX_FACTOR), expectedMillis * MAX_FACTOR);
  }

  private void add(UpstreamId upstream, UpstreamEvidence observed, long now) {
    sums.computeIfAbsent(upstream, id -> new Sums()).add(observed, now);
  }

  /** Removes the observations of all other upstreams. */
  public void retainAll(Set<UpstreamId> upstreams) {
    sums.keySet().retainAll(upstreams);
  }

  /** Returns the observations of one upstream; none if they have no influence any more. */
  UpstreamEvidence evidence(UpstreamId upstream, long now) {
    Sums recorded = sums.get(upstream);
    UpstreamEvidence current = recorded == null ? UpstreamEvidence.NONE : recorded.at(now);
    return current.isNegligible() ? UpstreamEvidence.NONE : current;
  }

  /** Returns the observations of each upstream, as far as they still have influence. */
  public Map<UpstreamId, UpstreamEvidence> evidence(long now) {
    Map<UpstreamId, UpstreamEvidence> current = new HashMap<>();
    sums.forEach((upstream, sum) -> current.put(upstream, sum.at(now)));
    current.values().removeIf(UpstreamEvidence::isNegligible);
    return current;
  }

  /** Returns the observations for a report, of at most 64 upstreams. */
  public Map<UpstreamId, UpstreamEvidence> reported(long now) {
    Map<UpstreamId, UpstreamEvidence> current = evidence(now);
    if (current.size() > MAX_REPORTED) {
      List<UpstreamId> least =
          current.entrySet().stream()
              .sorted(Comparator.comparingDouble(e -> observedMillis(e.getValue())))
              .limit(current.size() - MAX_REPORTED)
              .map(Map.Entry::getKey)
              .toList();
      least.forEach(current::remove);
    }
    return current;
  }

  private static double observedMillis(UpstreamEvidence evidence) {
    return evidence.readMillis() + evidence.emitMillis();
  }
}
