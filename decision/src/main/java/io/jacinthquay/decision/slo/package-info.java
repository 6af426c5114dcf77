/**
 * Measures service levels: which requests met the targets of their class, and the burn rates of
 * error budgets. The counts of several routers are merged without loss.
 */
package io.jacinthquay.decision.slo;
