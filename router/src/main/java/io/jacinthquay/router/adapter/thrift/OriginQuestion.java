package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.router.port.StreamOrigins.Origin;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A question for the version that began a stream.
 *
 * @param customer whose stream it is; empty if callers need no key
 * @param stream the stream; empty if its caller names none
 * @param pool the pool that goes on with it
 * @param askedNanos when it was asked, on the monotonic clock
 * @param found gets the answer, on the I/O thread
 */
record OriginQuestion(
    Optional<CustomerId> customer,
    Optional<StreamId> stream,
    PoolName pool,
    long askedNanos,
    Consumer<Origin> found) {}
