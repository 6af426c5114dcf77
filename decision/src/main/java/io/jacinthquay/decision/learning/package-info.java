/** Learns what upstreams bear from what routers observe of them. */
package io.jacinthquay.decision.learning;
