package io.jacinthquay.decision.dispatch;

/**
 * A transfer of a cached prompt prefix from one engine to another.
 *
 * @param source the engine that holds the prefix
 * @param tokens tokens to transfer, 1 or more
 * @param millis time until the transfer ends, in milliseconds, including the wait for both engines'
 *     links
 */
record PrefixTransfer(UpstreamState source, int tokens, double millis) {}
