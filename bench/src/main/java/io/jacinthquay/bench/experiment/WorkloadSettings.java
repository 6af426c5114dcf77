package io.jacinthquay.bench.experiment;

import io.jacinthquay.model.policy.ClassPolicy;
import java.util.List;

/**
 * What arrives.
 *
 * @param ratePerSecond mean requests per second
 * @param burstFactor rate during a burst relative to the mean; 1 for none
 * @param classes the classes
 * @param classWeights their shares of the requests
 * @param customerWeights the customers' shares of the requests
 * @param templates different leading texts per customer
 * @param templateTokens tokens of a leading text
 * @param conversationShare share of requests that continue an earlier one
 * @param medianOutputTokens median length of an answer; lengths are heavy-tailed
 * @param floodFactor requests of one customer in one class relative to its usual ones; 1 for none
 */
record WorkloadSettings(
    double ratePerSecond,
    double burstFactor,
    List<ClassPolicy> classes,
    List<Double> classWeights,
    List<Double> customerWeights,
    int templates,
    int templateTokens,
    double conversationShare,
    double medianOutputTokens,
    double floodFactor) {
  WorkloadSettings {
    classes = List.copyOf(classes);
    classWeights = List.copyOf(classWeights);
    customerWeights = List.copyOf(customerWeights);
  }

  /** Customer and class of a flood. */
  static final int FLOOD_CUSTOMER = 0;

  static final int FLOOD_CLASS = 1;

  /** Returns a workload in which one customer sends a multiple of its usual requests in a class. */
  WorkloadSettings withFlood(double factor) {
    return new WorkloadSettings(
        ratePerSecond,
        burstFactor,
        classes,
        classWeights,
        customerWeights,
        templates,
        templateTokens,
        conversationShare,
        medianOutputTokens,
        factor);
  }

  /** Returns the flood's requests relative to all others. */
  double floodShare() {
    double customer = share(customerWeights, FLOOD_CUSTOMER);
    return (floodFactor - 1) * customer * share(classWeights, FLOOD_CLASS);
  }

  private static double share(List<Double> weights, int index) {
    return weights.get(index) / weights.stream().mapToDouble(Double::doubleValue).sum();
  }
}
