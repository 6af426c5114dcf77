package io.jacinthquay.decision.waiting;

import io.jacinthquay.model.CustomerId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Tokens served to each customer by all routers, of which older ones count less.
 *
 * <p>Answers customers that send several times their usual load: they go after the others.
 */
public final class ServedTokens {
  /** Time after which tokens count e times less, in nanoseconds. */
  private static final double DECAY_NANOS = 30e9;

  /** Customers reported to other routers, the largest ones; about 1 KB of a message. */
  private static final int MAX_REPORTED = 32;

  /** Customers tracked; the smallest ones beyond it count as not served. */
  private static final int MAX_TRACKED = 512;

  /** Tokens below which a customer is forgotten; less than one usual prompt. */
  private static final double NEGLIGIBLE_TOKENS = 10;

  /** Shortest interval between two steps of the decay, which visits all customers. */
  private static final long DECAY_STEP_NANOS = 300_000_000L;

  private final Map<CustomerId, Double> own = new HashMap<>();
  private Map<CustomerId, Double> others = Map.of();
  private long decayedNanos;
  private double mean;
  private boolean meanKnown;

  /** Returns the tokens of no customer. */
  public ServedTokens(long now) {
    decayedNanos = now;
  }

  /** Records tokens that this router served. */
  public void record(CustomerId customer, double tokens, long now) {
    decay(now);
    if (own.size() < MAX_TRACKED || own.containsKey(customer)) {
      own.merge(customer, tokens, Double::sum);
      meanKnown = false;
    }
  }

  /** Sets what the other routers served. */
  public void updateOthers(Map<CustomerId, Double> tokens) {
    others = tokens;
    meanKnown = false;
  }

  private void decay(long now) {
    if (now - decayedNanos < DECAY_STEP_NANOS) {
      return;
    }
    double factor = Math.exp(-(now - decayedNanos) / DECAY_NANOS);
    decayedNanos = now;
    own.replaceAll((customer, tokens) -> tokens * factor);
    own.values().removeIf(tokens -> tokens < NEGLIGIBLE_TOKENS);
    meanKnown = false;
  }

  /** Returns the largest customers of this router, for the other routers. */
  public Map<CustomerId, Double> report(long now) {
    decay(now);
    return own.entrySet().stream()
        .sorted(Map.Entry.<CustomerId, Double>comparingByValue(Comparator.reverseOrder()))
        .limit(MAX_REPORTED)
        .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  /** Returns the tokens served to a customer by all routers. */
  public double tokens(CustomerId customer) {
    return own.getOrDefault(customer, 0.0) + others.getOrDefault(customer, 0.0);
  }

  /**
   * Returns the power of two by which a customer exceeds the mean of all customers; 0 up to twice
   * the mean, so that customers with about the same load are served by arrival.
   */
  public int level(Optional<CustomerId> customer) {
    double served = customer.map(this::tokens).orElse(0.0);
    if (!meanKnown) {
      mean = computeMean();
      meanKnown = true;
    }
    return served < 2 * mean || mean == 0 ? 0 : (int) (Math.log(served / mean) / Math.log(2));
  }

  private double computeMean() {
    double sum = 0;
    int count = others.size();
    for (Map.Entry<CustomerId, Double> entry : own.entrySet()) {
      sum += entry.getValue();
      count += others.containsKey(entry.getKey()) ? 0 : 1;
    }
    for (double tokens : others.values()) {
      sum += tokens;
    }
    return count == 0 ? 0 : sum / count;
  }
}
