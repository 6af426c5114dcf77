/**
 * The Raft consensus protocol as a pure state machine. Its input is events and the current time,
 * its output a {@link io.jacinthquay.consensus.raft.Ready} with messages and storage work. This
 * package does no I/O, owns no thread and reads no clock.
 */
package io.jacinthquay.consensus.raft;
