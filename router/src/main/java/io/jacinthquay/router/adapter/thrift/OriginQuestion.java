package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.router.port.StreamOrigins.Origin;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A question for the pool and the version that began a stream.
 *
 * @param customer whose stream it is; empty if callers need no key
 * @param stream the stream; empty if its caller names none
 * @param pools the pools that may have begun it, at least one
 * @param askedNanos when it was asked, on the monotonic clock
 * @param found gets the answer, on the I/O thread
 */
record OriginQuestion(
    Optional<CustomerId> customer,
    Optional<StreamId> stream,
    List<PoolName> pools,
    long askedNanos,
    Consumer<Origin> found) {
  /** Returns the pool whose only version answers the question; empty if several may be meant. */
  Optional<PoolName> onlyPool() {
    return Optional.of(pools.get(0)).filter(pool -> pools.size() == 1);
  }
}
