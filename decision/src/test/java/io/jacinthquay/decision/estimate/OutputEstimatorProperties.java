package io.jacinthquay.decision.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.ModelName;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Estimates follow the observed lengths of the narrowest level with enough answers. */
class OutputEstimatorProperties {
  private static final long MAX = 100_000;

  private static OutputEstimator.Key key(String className, String customer) {
    return new OutputEstimator.Key(
        new ClassName(className), new ModelName("m"), new CustomerId(customer));
  }

  @Property(tries = 50, seed = "4711")
  void estimatesTheMeanOfHeavyTailedLengths(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    OutputEstimator estimator = new OutputEstimator();
    double sum = 0;
    int count = 400;
    for (int i = 0; i < count; i++) {
      long tokens = Math.round(200 * Math.exp(random.nextGaussian()));
      sum += tokens;
      estimator.finished(key("chat", "atlas"), tokens);
    }
    double expected = estimator.expected(key("chat", "atlas"), MAX);
    assertTrue(Math.abs(expected / (sum / count) - 1) < 0.15, expected + " for " + sum / count);
  }

  @Property(tries = 100, seed = "4711")
  void correctedEstimateIsAtLeastTheTokensSoFar(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
      @ForAll @LongRange(min = 0, max = MAX) long tokens) {
    Random random = new Random(seed);
    OutputEstimator estimator = new OutputEstimator();
    for (int i = 0; i < 100; i++) {
      estimator.finished(key("chat", "atlas"), 1 + random.nextInt(2_000));
    }
    long whole = estimator.expectedAfter(key("chat", "atlas"), tokens, MAX);
    assertTrue(whole >= Math.max(1, tokens) && whole <= MAX, whole + " after " + tokens);
  }

  @Example
  void newCustomerStartsWithItsClassAndThenUsesItsOwnLengths() {
    OutputEstimator estimator = new OutputEstimator();
    for (int i = 0; i < 200; i++) {
      estimator.finished(key("chat", "atlas"), 100);
    }
    assertEquals(100, estimator.expected(key("chat", "lakeshore"), MAX), 12);
    for (int i = 0; i < 200; i++) {
      estimator.finished(key("chat", "lakeshore"), 2_000);
    }
    assertEquals(2_000, estimator.expected(key("chat", "lakeshore"), MAX), 300);
    assertEquals(100, estimator.expected(key("chat", "atlas"), MAX), 80);
  }

  @Example
  void oldLengthsDecay() {
    OutputEstimator estimator = new OutputEstimator();
    for (int i = 0; i < 1_000; i++) {
      estimator.finished(key("chat", "atlas"), 100);
    }
    for (int i = 0; i < 2_000; i++) {
      estimator.finished(key("chat", "atlas"), 1_000);
    }
    assertEquals(1_000, estimator.quantile(key("chat", "atlas"), 0.5, MAX), 120);
  }
}
