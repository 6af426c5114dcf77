/**
 * Selects upstreams for requests that are described by headers; queues and rejects requests.
 *
 * <p>Times are passed in; nothing here does I/O or owns a thread. Not thread-safe.
 */
package io.jacinthquay.decision.dispatch;
