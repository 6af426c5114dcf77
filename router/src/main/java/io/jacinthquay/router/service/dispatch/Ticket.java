package io.jacinthquay.router.service.dispatch;

/** A request that waits or runs, as the dispatcher remembers it. */
record Ticket(DispatchRequest request, Job job) {}
