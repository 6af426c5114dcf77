/**
 * A replicated log: our own Raft with file storage.
 *
 * <p>{@link io.jacinthquay.consensus.ReplicatedLog} is the entry point. It is built with a {@link
 * io.jacinthquay.consensus.StateMachine}, a {@link io.jacinthquay.consensus.PeerTransport} and a
 * data folder. The protocol itself is the pure state machine in {@code raft}; files are the job of
 * {@code storage}.
 */
package io.jacinthquay.consensus;
