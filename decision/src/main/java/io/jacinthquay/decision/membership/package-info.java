/**
 * Detects which routers are alive, by gossip within a failure domain and summaries across domains.
 *
 * <p>{@link io.jacinthquay.decision.membership.GossipNode} is a pure state machine that takes
 * events and times and returns the messages to send. It is not thread-safe.
 */
package io.jacinthquay.decision.membership;
