package io.jacinthquay.control.port;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * The platform that runs the upstreams: its list of them, and the calls that only the leader may
 * make.
 */
public interface Fleet {
  /** Returns the list of upstreams, or the reason why it could not be read. */
  Either<Failure, List<UpstreamListing>> listUpstreams();

  /**
   * Returns the least time between two reads of the list by each of several VMs that read it at the
   * same time, so that all of them together stay within the calls that the platform allows.
   *
   * @param readers number of VMs, 1 or more
   * @param upstreams number of upstreams in the last known list, from which the number of calls is
   *     estimated before the first read
   */
  default Duration leastListInterval(int readers, int upstreams) {
    return Duration.ZERO;
  }

  /**
   * Reports the usage of a window: the number of requests of each customer that began in it.
   *
   * @return nothing, or {@link ResultCode#UPSTREAM_REFUSED} if the platform rejects the report, or
   *     any other failure if it is not known whether the platform accepted it
   */
  Either<Failure, Void> reportUsage(LeaderLease lease, long window, Map<CustomerId, Long> counts);

  /**
   * Orders a number of upstreams.
   *
   * @return nothing, or {@link ResultCode#UPSTREAM_REFUSED} if none are available, or any other
   *     failure if it is not known whether the platform accepted the order
   */
  Either<Failure, Void> orderUpstreams(LeaderLease lease, UpstreamOrder order);
}
