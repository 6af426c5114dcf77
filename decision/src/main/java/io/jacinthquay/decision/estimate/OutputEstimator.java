package io.jacinthquay.decision.estimate;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.ModelName;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Estimates the output length of an answer from earlier answers of its class, model and customer.
 *
 * <p>Lengths are heavy-tailed, so decaying histograms are kept rather than means. Three levels are
 * blended: the customer's own answers, those of the class and model, and those of the model. The
 * weight of a level grows with its number of answers, so that a new customer starts with the values
 * of its class. Not thread-safe.
 *
 * <pre>{@code
 * long expected = estimator.expected(key, maxTokens);
 * long corrected = estimator.expectedAfter(key, tokensSoFar, maxTokens);
 * estimator.finished(key, tokens);
 * }</pre>
 */
public final class OutputEstimator {
  /**
   * Most combinations of class, model and customer with a histogram of their own; the least
   * recently used are evicted.
   */
  public static final int MAX_CUSTOMERS = 16_384;

  /** Answers at which a level has the same weight as all wider levels together. */
  private static final double HALF_WEIGHT_ANSWERS = 8;

  private final Map<Key, LengthHistogram> byCustomer =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, LengthHistogram> eldest) {
          return size() > MAX_CUSTOMERS;
        }
      };
  private final Map<ClassKey, LengthHistogram> byClass = new LinkedHashMap<>();
  private final Map<ModelName, LengthHistogram> byModel = new LinkedHashMap<>();

  /**
   * The class, model and customer of an answer.
   *
   * @param className the class
   * @param model the model
   * @param customer the customer
   */
  public record Key(ClassName className, ModelName model, CustomerId customer) {
    /**
     * Checks that all components are present.
     *
     * @throws NullPointerException if a component is missing
     */
    public Key {
      Objects.requireNonNull(className, "className");
      Objects.requireNonNull(model, "model");
      Objects.requireNonNull(customer, "customer");
    }
  }

  private record ClassKey(ClassName className, ModelName model) {}

  /** Records the output length of a complete answer, in tokens, 0 or more. */
  public void finished(Key key, long tokens) {
    byCustomer.computeIfAbsent(key, k -> new LengthHistogram()).add(tokens);
    ClassKey classKey = new ClassKey(key.className(), key.model());
    byClass.computeIfAbsent(classKey, k -> new LengthHistogram()).add(tokens);
    byModel.computeIfAbsent(key.model(), k -> new LengthHistogram()).add(tokens);
  }

  /**
   * Returns the expected output length of a new answer.
   *
   * @param maxTokens most tokens that the answer may have, 1 or more
   * @return 1 to {@code maxTokens}
   */
  public long expected(Key key, long maxTokens) {
    return expectedAfter(key, 0, maxTokens);
  }

  /**
   * Returns the expected total output length of an answer in progress.
   *
   * @param tokens tokens so far, 0 or more
   * @param maxTokens most tokens that the answer may have, 1 or more
   * @return at least 1 and, unless {@code tokens} is above it, at most {@code maxTokens}
   */
  public long expectedAfter(Key key, long tokens, long maxTokens) {
    double estimate = blend(key, tokens, -1, Math.min(maxTokens, 2.0 * tokens + 256));
    return clamp(estimate, tokens, maxTokens);
  }

  /**
   * Returns a quantile of the output length of a new answer.
   *
   * @param quantile above 0 and below 1
   * @param maxTokens most tokens that the answer may have, 1 or more
   * @return 1 to {@code maxTokens}
   * @throws IllegalArgumentException if {@code quantile} is out of range
   */
  public long quantile(Key key, double quantile, long maxTokens) {
    if (!(quantile > 0 && quantile < 1)) {
      throw new IllegalArgumentException("quantile must be above 0 and below 1: " + quantile);
    }
    return clamp(blend(key, 0, quantile, Math.min(maxTokens, 256)), 0, maxTokens);
  }

  /** Blends the levels from the widest to the narrowest; a negative quantile selects the mean. */
  private double blend(Key key, long tokens, double quantile, double fallback) {
    double value = fallback;
    value = blendLevel(byModel.get(key.model()), tokens, quantile, value);
    value =
        blendLevel(
            byClass.get(new ClassKey(key.className(), key.model())), tokens, quantile, value);
    return blendLevel(byCustomer.get(key), tokens, quantile, value);
  }

  private static double blendLevel(
      LengthHistogram histogram, long tokens, double quantile, double widerEstimate) {
    if (histogram == null) {
      return widerEstimate;
    }
    double answers = histogram.countAbove(tokens);
    if (answers <= 0) {
      return widerEstimate;
    }
    double weight = answers / (answers + HALF_WEIGHT_ANSWERS);
    double ownEstimate =
        quantile < 0 ? histogram.meanAbove(tokens) : histogram.quantileAbove(tokens, quantile);
    return weight * ownEstimate + (1 - weight) * widerEstimate;
  }

  private static long clamp(double estimate, long tokens, long maxTokens) {
    long minimum = Math.max(1, tokens);
    long maximum = Math.max(minimum, maxTokens);
    return Math.min(maximum, Math.max(minimum, Math.round(estimate)));
  }
}
