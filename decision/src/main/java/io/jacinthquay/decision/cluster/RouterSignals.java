package io.jacinthquay.decision.cluster;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.UpstreamId;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * What routers that learn rates tell each other; the sum over several routers has the same form.
 *
 * @param evidence observations by upstream
 * @param waiting requests that wait at routers
 * @param servedTokens tokens served by customer, as sums in which older requests count less
 */
public record RouterSignals(
    Map<UpstreamId, UpstreamEvidence> evidence,
    Map<WaitingWork.Key, WaitingWork> waiting,
    Map<CustomerId, Double> servedTokens) {
  /** Age from which the signals of a router count as none, in nanoseconds. */
  public static final long EXPIRY_NANOS = 1_500_000_000L;

  /** Nothing. */
  public static final RouterSignals NONE = new RouterSignals(Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public RouterSignals {
    evidence = Map.copyOf(evidence);
    waiting = Map.copyOf(waiting);
    servedTokens = Map.copyOf(servedTokens);
  }

  /** Returns whether there are none. */
  public boolean isEmpty() {
    return evidence.isEmpty() && waiting.isEmpty() && servedTokens.isEmpty();
  }

  /** Returns the sum of two. */
  public RouterSignals plus(RouterSignals other) {
    return new RouterSignals(
        merge(evidence, other.evidence, UpstreamEvidence::plus),
        merge(waiting, other.waiting, WaitingWork::plus),
        merge(servedTokens, other.servedTokens, Double::sum));
  }

  /** Returns these signals without those of other routers that they include. */
  public RouterSignals minus(RouterSignals other) {
    return new RouterSignals(
        subtract(evidence, other.evidence, UpstreamEvidence::minus),
        subtract(waiting, other.waiting, WaitingWork::minus),
        subtract(servedTokens, other.servedTokens, (all, some) -> Math.max(0, all - some)));
  }

  private static <K, V> Map<K, V> merge(Map<K, V> first, Map<K, V> second, BinaryOperator<V> sum) {
    if (first.isEmpty() || second.isEmpty()) {
      return first.isEmpty() ? second : first;
    }
    Map<K, V> merged = new HashMap<>(first);
    second.forEach((key, value) -> merged.merge(key, value, sum));
    return merged;
  }

  private static <K, V> Map<K, V> subtract(
      Map<K, V> all, Map<K, V> some, BinaryOperator<V> difference) {
    if (some.isEmpty()) {
      return all;
    }
    Map<K, V> rest = new HashMap<>(all);
    some.forEach((key, value) -> rest.computeIfPresent(key, (k, v) -> difference.apply(v, value)));
    return rest;
  }
}
