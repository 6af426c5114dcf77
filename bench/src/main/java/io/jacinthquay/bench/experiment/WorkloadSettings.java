package io.jacinthquay.bench.experiment;

import io.jacinthquay.model.policy.ClassPolicy;
import java.util.List;

/**
 * The settings of a workload.
 *
 * @param ratePerSecond mean requests per second
 * @param burstFactor rate during a burst relative to the mean; 1 for none
 * @param classes the classes
 * @param classWeights shares of the classes in the requests
 * @param customerWeights shares of the customers in the requests
 * @param templates prompt templates per customer; each is a shared prefix
 * @param templateTokens tokens of a template
 * @param conversationShare share of requests that continue an earlier conversation
 * @param medianOutputTokens median output tokens of a request; lengths are heavy-tailed
 * @param floodFactor requests of the flooding customer in the class of the flood, relative to its
 *     usual ones; 1 for no flood
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

  /** Index of the customer that sends a flood. */
  static final int FLOOD_CUSTOMER = 0;

  /** Index of the class of a flood. */
  static final int FLOOD_CLASS = 1;

  /** Returns these settings with a flood: a multiple of one customer's requests in one class. */
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

  /** Returns the additional requests of the flood relative to all others. */
  double floodShare() {
    double customer = share(customerWeights, FLOOD_CUSTOMER);
    return (floodFactor - 1) * customer * share(classWeights, FLOOD_CLASS);
  }

  private static double share(List<Double> weights, int index) {
    return weights.get(index) / weights.stream().mapToDouble(Double::doubleValue).sum();
  }
}
