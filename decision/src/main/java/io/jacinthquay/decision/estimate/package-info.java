/** Estimates how many tokens an answer will have. */
package io.jacinthquay.decision.estimate;
