package io.jacinthquay.controller.port;

/**
 * A usage window that still holds unsealed counts.
 *
 * @param shard the shard of customers
 * @param startMillis its start, in milliseconds since the epoch
 */
public record OpenWindow(int shard, long startMillis) {}
