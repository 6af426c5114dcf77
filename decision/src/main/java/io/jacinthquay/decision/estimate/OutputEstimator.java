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
 * <p>Lengths are heavy-tailed, so quantiles of decaying histograms are kept, not means. Three
 * levels are blended: the customer's own answers, those of the class and model, and those of the
 * model. A level counts in proportion to its answers, so that a new customer starts with the values
 * of its class. Not safe for use by several threads.
 *
 * <pre>{@code
 * long expected = estimator.expected(key, maxTokens);
 * long corrected = estimator.expectedAfter(key, tokensSoFar, maxTokens);
 * estimator.finished(key, tokens);
 * }</pre>
 */
public final class OutputEstimator {
  /** Most customers whose own answers are remembered. */
  public static final int MAX_CUSTOMERS = 16_384;

  /** Answers of a customer that weigh as much as all of its class. */
  private static final double CONFIDENT_ANSWERS = 8;

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
   * What an answer is for.
   *
   * @param className the class
   * @param model the model
   * @param customer the customer
   */
  public record Key(ClassName className, ModelName model, CustomerId customer) {
    /**
     * Checks that all parts are present.
     *
     * @throws NullPointerException if a part is missing
     */
    public Key {
      Objects.requireNonNull(className, "className");
      Objects.requireNonNull(model, "model");
      Objects.requireNonNull(customer, "customer");
    }
  }

  private record ClassKey(ClassName className, ModelName model) {}

  /** Takes in the output length of a whole answer, in tokens, 0 or more. */
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
   * Returns the expected whole output length of an answer that has some tokens already.
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
   */
  public long quantile(Key key, double quantile, long maxTokens) {
    if (!(quantile > 0 && quantile < 1)) {
      throw new IllegalArgumentException("quantile is " + quantile);
    }
    return clamp(blend(key, 0, quantile, Math.min(maxTokens, 256)), 0, maxTokens);
  }

  /** Blends the levels from the widest to the narrowest; a negative quantile asks for the mean. */
  private double blend(Key key, long tokens, double quantile, double fallback) {
    double value = fallback;
    value = level(byModel.get(key.model()), tokens, quantile, value);
    value = level(byClass.get(new ClassKey(key.className(), key.model())), tokens, quantile, value);
    return level(byCustomer.get(key), tokens, quantile, value);
  }

  private static double level(
      LengthHistogram histogram, long tokens, double quantile, double wider) {
    if (histogram == null) {
      return wider;
    }
    double answers = histogram.countAbove(tokens);
    if (answers <= 0) {
      return wider;
    }
    double weight = answers / (answers + CONFIDENT_ANSWERS);
    double own =
        quantile < 0 ? histogram.meanAbove(tokens) : histogram.quantileAbove(tokens, quantile);
    return weight * own + (1 - weight) * wider;
  }

  private static long clamp(double estimate, long tokens, long maxTokens) {
    long atLeast = Math.max(1, tokens);
    long atMost = Math.max(atLeast, maxTokens);
    return Math.min(atMost, Math.max(atLeast, Math.round(estimate)));
  }
}
