/**
 * Capacity: how many upstreams a pool needs, of which kind and in which failure domain, and which
 * to start, drain and stop.
 */
package io.jacinthquay.decision.capacity;
