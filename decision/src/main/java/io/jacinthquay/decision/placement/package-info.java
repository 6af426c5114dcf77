/**
 * Chooses the upstream of a request.
 *
 * <p>A {@link io.jacinthquay.decision.placement.UpstreamTable} holds the state of the upstreams of
 * one pool as seen by one router; a {@link io.jacinthquay.decision.placement.Placer} reads it.
 * Neither is thread-safe: guard a table and its placers by the same lock.
 */
package io.jacinthquay.decision.placement;
