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
    double medianOutputTokens) {
  WorkloadSettings {
    classes = List.copyOf(classes);
    classWeights = List.copyOf(classWeights);
    customerWeights = List.copyOf(customerWeights);
  }

  WorkloadSettings withRate(double rate) {
    return new WorkloadSettings(
        rate,
        burstFactor,
        classes,
        classWeights,
        customerWeights,
        templates,
        templateTokens,
        conversationShare,
        medianOutputTokens);
  }

  WorkloadSettings withCustomers(List<Double> weights, double rate) {
    return new WorkloadSettings(
        rate,
        burstFactor,
        classes,
        classWeights,
        weights,
        templates,
        templateTokens,
        conversationShare,
        medianOutputTokens);
  }
}
