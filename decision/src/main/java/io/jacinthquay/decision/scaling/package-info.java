/**
 * Decides how many regular and reclaimable upstreams a pool should have in each failure domain,
 * without I/O.
 */
package io.jacinthquay.decision.scaling;
