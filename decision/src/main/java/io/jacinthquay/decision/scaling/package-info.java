/** Decides how many upstreams of each sort a pool should have in each failure domain. Pure. */
package io.jacinthquay.decision.scaling;
