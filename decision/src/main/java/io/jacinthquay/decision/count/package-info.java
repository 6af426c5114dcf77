/** Sliding window counters for several decision packages. */
package io.jacinthquay.decision.count;
