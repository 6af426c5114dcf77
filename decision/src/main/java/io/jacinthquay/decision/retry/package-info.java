/**
 * Decides whether a failed attempt is retried, resumed or given up.
 *
 * <p>{@link io.jacinthquay.decision.retry.RetryPolicy} decides from the facts of one attempt and
 * takes tokens from a {@link io.jacinthquay.decision.retry.RetryBudget}.
 */
package io.jacinthquay.decision.retry;
