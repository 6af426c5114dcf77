package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Data of one attempt that the router sends to an upstream in addition to the caller's request.
 *
 * @param upstream the upstream incarnation that alone may run the request
 * @param customer the owner of the caller's key; absent on open routes
 * @param waitMillis time until the caller stops waiting, in milliseconds
 * @param enginePriority priority in the engine's queue, 0 runs first; empty for other upstreams
 * @param prefixSource the engine from which to fetch the cached prefix of the prompt
 * @param resumeAfter number of the last event sent to the caller, if a stream is resumed
 */
public record AttemptMetadata(
    UpstreamId upstream,
    Optional<CustomerId> customer,
    long waitMillis,
    OptionalInt enginePriority,
    Optional<InetSocketAddress> prefixSource,
    OptionalLong resumeAfter) {
  /**
   * Checks that no component is missing.
   *
   * @throws NullPointerException if a component is null
   */
  public AttemptMetadata {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(prefixSource, "prefixSource");
  }
}
