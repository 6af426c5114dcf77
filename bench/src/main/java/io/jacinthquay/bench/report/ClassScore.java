package io.jacinthquay.bench.report;

/**
 * How one class fared.
 *
 * @param name the class
 * @param tier its tier
 * @param requests requests that arrived
 * @param attainment share that met both targets
 * @param p95FirstTokenMs 95th percentile of the time to the first token, in milliseconds
 * @param refused share that was refused
 * @param completed share that got a whole answer
 */
public record ClassScore(
    String name,
    int tier,
    long requests,
    double attainment,
    double p95FirstTokenMs,
    double refused,
    double completed) {}
