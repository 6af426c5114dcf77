/** Learns the concurrency limit of an upstream. */
package io.jacinthquay.decision.bearing;
