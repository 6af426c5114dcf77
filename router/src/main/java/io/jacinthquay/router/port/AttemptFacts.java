package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What the router tells an upstream beside what the caller sent.
 *
 * @param upstream the run of the upstream that alone may run the request
 * @param customer who holds the caller's key; absent on open routes
 * @param waitMillis how long the caller still waits, in milliseconds
 * @param urgency order in which an engine takes what waits there, 0 first; empty for others
 * @param prefixSource the engine that hands over the beginning of the prompt
 * @param resumeAfter number of the last event that the caller was given, where a stream goes on
 */
public record AttemptFacts(
    UpstreamId upstream,
    Optional<CustomerId> customer,
    long waitMillis,
    OptionalInt urgency,
    Optional<InetSocketAddress> prefixSource,
    OptionalLong resumeAfter) {
  /** Checks that all parts are present. */
  public AttemptFacts {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(prefixSource, "prefixSource");
  }
}
