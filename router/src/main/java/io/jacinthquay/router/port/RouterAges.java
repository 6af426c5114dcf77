package io.jacinthquay.router.port;

/**
 * The ages of what a router decides by, in milliseconds; negative where it has none yet.
 *
 * @param configMillis time since a source of configuration answered
 * @param keysMillis time since the key table was last known to be current
 * @param loadMillis time since an engine reported its load
 * @param cacheEventsMillis time since an engine told of its cache
 * @param configVersion the version in force
 */
public record RouterAges(
    long configMillis,
    long keysMillis,
    long loadMillis,
    long cacheEventsMillis,
    long configVersion) {}
