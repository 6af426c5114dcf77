/**
 * Service levels: which requests met the targets of their class, how fast error budgets burn, and
 * how the counts of many routers are merged without loss.
 */
package io.jacinthquay.decision.slo;
