/**
 * Plans capacity: the number of upstreams of a pool on each market and in each failure domain, and
 * which of them to start, drain and stop.
 */
package io.jacinthquay.decision.capacity;
