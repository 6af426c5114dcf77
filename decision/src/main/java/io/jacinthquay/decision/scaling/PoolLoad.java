package io.jacinthquay.decision.scaling;

/**
 * What is asked of a pool now.
 *
 * @param inFlight requests that run
 * @param waiting requests that wait at routers
 * @param promptTokens prompt tokens that were sent and are not read yet
 * @param promptRate prompt tokens asked for a second
 * @param requestRate requests a second
 */
public record PoolLoad(
    int inFlight, int waiting, long promptTokens, double promptRate, double requestRate) {}
