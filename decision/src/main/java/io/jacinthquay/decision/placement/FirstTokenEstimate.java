package io.jacinthquay.decision.placement;

/**
 * The expected time to the first token on an upstream of typical speed.
 *
 * @param nanos the expected time, in nanoseconds
 * @param workTokens prompt tokens of this and earlier requests to be computed by then
 * @param missTokens prompt tokens of this request that are not cached
 */
record FirstTokenEstimate(double nanos, double workTokens, int missTokens) {}
