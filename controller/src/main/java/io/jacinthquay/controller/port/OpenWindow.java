package io.jacinthquay.controller.port;

/**
 * A usage window that has unsealed counts.
 *
 * @param shard the customer shard
 * @param startMillis the start of the window, in milliseconds since the epoch
 */
public record OpenWindow(int shard, long startMillis) {}
