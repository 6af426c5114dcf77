package io.jacinthquay.bench.report;

/**
 * The results of one class in an experiment.
 *
 * @param name the class
 * @param tier its tier
 * @param requests requests that arrived
 * @param attainment share that met both targets
 * @param p95FirstTokenMs 95th percentile of the time to the first token, in milliseconds
 * @param refused share that was rejected
 * @param completed share that got a complete response
 */
public record ClassScore(
    String name,
    int tier,
    long requests,
    double attainment,
    double p95FirstTokenMs,
    double refused,
    double completed) {}
