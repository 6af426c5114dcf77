/**
 * Decides which requests wait for capacity, in which order they are sent, and when a request is
 * rejected.
 *
 * <p>Times and random numbers are passed in; nothing here does I/O or owns a thread. Not
 * thread-safe.
 */
package io.jacinthquay.decision.waiting;
