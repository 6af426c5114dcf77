/** Learns how many requests one upstream can serve at a time. */
package io.jacinthquay.decision.bearing;
