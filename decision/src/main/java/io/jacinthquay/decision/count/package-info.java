/** Counts over spans of time that several decisions share. */
package io.jacinthquay.decision.count;
