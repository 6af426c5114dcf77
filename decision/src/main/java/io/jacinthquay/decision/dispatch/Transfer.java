package io.jacinthquay.decision.dispatch;

/**
 * The hand-over of a cached beginning from one engine to another.
 *
 * @param source the engine that has it
 * @param tokens tokens that are handed over, 1 or more
 * @param millis time until they are there, in milliseconds, the wait for both engines' links
 *     included
 */
record Transfer(UpstreamState source, int tokens, double millis) {}
