package io.jacinthquay.decision.scaling;

/**
 * The figures behind the last plan of a pool.
 *
 * @param need load that the pool is sized for, without headroom: upstreams where capacity is a
 *     fixed figure, prompt tokens per millisecond where it is learned
 * @param headroom factor by which the capacity exceeds the need
 * @param missedShare share of recent requests that were answered late or refused, 0 to 1
 */
public record SizingStatus(double need, double headroom, double missedShare) {}
