package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * One upstream of the platform's list.
 *
 * @param upstream one run of one upstream
 * @param pool the pool that it belongs to
 * @param domain its failure domain
 * @param address where it listens
 * @param draining whether it is about to stop
 * @param cheap whether it may be reclaimed
 * @param slots requests that it runs at one time, 1 or more
 * @param coldMillis how much longer it is cold, in milliseconds from when the list was read
 */
public record Listing(
    UpstreamId upstream,
    PoolName pool,
    DomainId domain,
    InetSocketAddress address,
    boolean draining,
    boolean cheap,
    int slots,
    long coldMillis) {
  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code slots} is below 1
   */
  public Listing {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(address, "address");
    if (slots < 1) {
      throw new IllegalArgumentException("slots must be 1 or more");
    }
  }
}
