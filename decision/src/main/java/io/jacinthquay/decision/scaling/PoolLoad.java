package io.jacinthquay.decision.scaling;

/**
 * The current load of a pool.
 *
 * @param inFlight running requests
 * @param waiting requests queued at routers
 * @param promptTokens prompt tokens that were sent and not read yet
 * @param promptRate prompt tokens per second
 * @param requestRate requests per second
 */
public record PoolLoad(
    int inFlight, int waiting, long promptTokens, double promptRate, double requestRate) {}
