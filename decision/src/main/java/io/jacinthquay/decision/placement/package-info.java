/**
 * Chooses the upstream of a request.
 *
 * <p>A {@link io.jacinthquay.decision.placement.UpstreamTable} keeps what one router knows of the
 * upstreams of one pool; a {@link io.jacinthquay.decision.placement.Placer} reads it. Nothing here
 * is thread-safe: callers guard a table and its placer by one lock.
 */
package io.jacinthquay.decision.placement;
