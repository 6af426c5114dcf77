package io.jacinthquay.control.port;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;

/** The platform below: its list of upstreams, and the calls that one VM at a time may make. */
public interface Fleet {
  /** Returns the list of upstreams, or why it could not be read. */
  Either<Failure, List<UpstreamListing>> list();

  /**
   * Reports how many requests of each customer began in a window.
   *
   * @return nothing; {@link ResultCode#UPSTREAM_REFUSED} if it won't be taken as it is; any other
   *     failure if it isn't known whether it was taken
   */
  Either<Failure, Void> report(Fence fence, long window, Map<CustomerId, Long> counts);

  /**
   * Orders upstreams.
   *
   * @return nothing; {@link ResultCode#UPSTREAM_REFUSED} if there are none to be had; any other
   *     failure if it isn't known whether the order was taken
   */
  Either<Failure, Void> order(Fence fence, UpstreamOrder order);
}
