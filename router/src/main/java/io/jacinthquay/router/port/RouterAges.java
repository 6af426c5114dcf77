package io.jacinthquay.router.port;

/**
 * The ages of the data that a router decides by, in milliseconds; negative if there is none yet.
 *
 * @param configMillis time since a configuration source last responded
 * @param keysMillis time since the key table was last known to be current
 * @param loadMillis time since an engine last reported its load
 * @param cacheEventsMillis time since an engine last reported prefix cache events
 * @param configVersion the configuration version in force
 */
public record RouterAges(
    long configMillis,
    long keysMillis,
    long loadMillis,
    long cacheEventsMillis,
    long configVersion) {}
