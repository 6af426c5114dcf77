package io.jacinthquay.router.port;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;

/** The platform's list of upstreams, which all VMs read from one place. */
public interface UpstreamDirectory {
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
  Duration leastListInterval(int readers, int upstreams);
}
