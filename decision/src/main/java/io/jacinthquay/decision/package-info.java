/** Decision logic without I/O: admission, fairness, placement, limits and capacity. */
package io.jacinthquay.decision;
