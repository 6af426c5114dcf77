package io.jacinthquay.bench.report;

import java.util.List;

/**
 * The result of one scenario under one strategy.
 *
 * @param scenario the scenario
 * @param strategy the strategy
 * @param seed the seed of the run
 * @param requests requests that arrived while it was measured
 * @param attainment share of them that met both targets of their class
 * @param p50FirstTokenMs median time to the first token, in milliseconds
 * @param p95FirstTokenMs 95th percentile of it
 * @param goodput output tokens of requests on target, per second
 * @param wasted share of the computed tokens that were part of no whole answer
 * @param worstCustomer lowest attainment of any customer
 * @param worstBesideFlood lowest attainment, in the class that a flood hits, of any customer but
 *     the one that floods
 * @param prefixHitShare share of the prompt tokens that came from an engine's cache
 * @param attemptsPerRequest attempts sent to engines per request
 * @param breaches requests that an engine got beyond what it bears
 * @param cost price of the engines' running time
 * @param costPerMillionTokens price per million output tokens of whole answers
 * @param classes how each class fared, by tier
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
