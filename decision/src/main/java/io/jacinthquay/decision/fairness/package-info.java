/** Ordering of waiting requests by tier, deadline and the fair share of each customer. */
package io.jacinthquay.decision.fairness;
