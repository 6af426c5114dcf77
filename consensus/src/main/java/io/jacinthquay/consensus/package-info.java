/**
 * A replicated log based on the Raft protocol, with file storage.
 *
 * <p>{@link io.jacinthquay.consensus.ReplicatedLog} is the entry point. It is built with a {@link
 * io.jacinthquay.consensus.StateMachine}, a {@link io.jacinthquay.consensus.PeerTransport} and a
 * data folder. Package {@code raft} implements the protocol as a state machine without I/O; package
 * {@code storage} reads and writes the files.
 */
package io.jacinthquay.consensus;
