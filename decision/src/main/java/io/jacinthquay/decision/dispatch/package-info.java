/**
 * Chooses upstreams for header-described requests, and decides who waits and who is turned away.
 *
 * <p>Pure: times are passed in, nothing here does I/O or owns a thread. Not thread-safe.
 */
package io.jacinthquay.decision.dispatch;
