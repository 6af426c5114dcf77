package io.jacinthquay.soak;

/**
 * One fault of a schedule.
 *
 * @param kind what is done
 * @param target number of what it is done to
 * @param atMillis its begin, in milliseconds from the begin of the load
 * @param forMillis how long it lasts, in milliseconds
 */
record Fault(FaultKind kind, int target, long atMillis, long forMillis) {}
