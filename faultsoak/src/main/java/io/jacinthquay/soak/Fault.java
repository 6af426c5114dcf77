package io.jacinthquay.soak;

/**
 * A scheduled fault.
 *
 * @param kind the kind of fault
 * @param target number of the router, control VM or upstream
 * @param startMillis start, in milliseconds after the start of the load
 * @param durationMillis duration in milliseconds
 */
record Fault(FaultKind kind, int target, long startMillis, long durationMillis) {}
