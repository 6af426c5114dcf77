/**
 * Tells which routers live, by gossip within a failure domain and summaries across domains.
 *
 * <p>{@link io.jacinthquay.decision.membership.GossipNode} is a pure state machine: events and
 * times go in, messages come out. It is not thread-safe.
 */
package io.jacinthquay.decision.membership;
