/** Estimates the output length of answers, in tokens. */
package io.jacinthquay.decision.estimate;
