package io.jacinthquay.bench.report;

import java.util.List;

/**
 * The result of one scenario under one strategy.
 *
 * @param scenario the scenario
 * @param strategy the strategy
 * @param seed the seed of the run
 * @param requests requests that arrived during the measured period
 * @param attainment share of these requests that met both targets of their class
 * @param p50FirstTokenMs median time to the first token, in milliseconds
 * @param p95FirstTokenMs 95th percentile of the time to the first token, in milliseconds
 * @param goodput output tokens of requests on target, per second
 * @param wasted share of the computed tokens that were not part of a complete response
 * @param worstCustomer lowest attainment of any customer
 * @param worstBesideFlood lowest attainment, in the class of the flood, of any customer other than
 *     the one that sends the flood
 * @param prefixHitShare share of the prompt tokens that came from an engine's cache
 * @param attemptsPerRequest attempts sent to engines per request
 * @param breaches requests that reached an engine at or above its concurrency limit
 * @param cost price of the engines' running time
 * @param costPerMillionTokens price per million output tokens of complete responses
 * @param classes results of each class, by tier
 */
public record RunResult(
    String scenario,
    String strategy,
    long seed,
    long requests,
    double attainment,
    double p50FirstTokenMs,
    double p95FirstTokenMs,
    double goodput,
    double wasted,
    double worstCustomer,
    double worstBesideFlood,
    double prefixHitShare,
    double attemptsPerRequest,
    long breaches,
    double cost,
    double costPerMillionTokens,
    List<ClassScore> classes) {
  /** Copies the list. */
  public RunResult {
    classes = List.copyOf(classes);
  }
}
