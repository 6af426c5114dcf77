package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * An upstream in the platform's list.
 *
 * @param upstream id of this run of the upstream
 * @param pool the pool that it belongs to
 * @param domain its failure domain
 * @param address address that it listens on
 * @param draining whether it is about to stop
 * @param cheap whether the platform may reclaim it
 * @param slots requests that it can run concurrently, 1 or more
 * @param coldMillis time until it is warm, in milliseconds from when the list was read
 * @param version version of its software
 */
public record UpstreamListing(
    UpstreamId upstream,
    PoolName pool,
    DomainId domain,
    InetSocketAddress address,
    boolean draining,
    boolean cheap,
    int slots,
    long coldMillis,
    SoftwareVersion version) {
  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code slots} is below 1
   */
  public UpstreamListing {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(version, "version");
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be 1 or more");
    }
  }

  /** Returns this upstream with another time until it is warm, in milliseconds. */
  public UpstreamListing withColdMillis(long millis) {
    return new UpstreamListing(
        upstream, pool, domain, address, draining, cheap, slots, millis, version);
  }
}
