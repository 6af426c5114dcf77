/**
 * Raft as a pure state machine: events and the current time go in, a {@link
 * io.jacinthquay.consensus.raft.Ready} with messages and storage work comes out. Nothing here does
 * I/O, owns a thread or reads a clock.
 */
package io.jacinthquay.consensus.raft;
