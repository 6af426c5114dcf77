package io.jacinthquay.router.adapter.http;

import io.undertow.util.HttpString;
import java.time.Duration;

/**
 * The policy for reusing connections to upstreams, and the header that carries request ids.
 *
 * @param idHeader header that carries the id of a request and is echoed in its response
 * @param nonIdempotentIdleNanos longest idle time of a connection that is reused for a request that
 *     must not run twice, in nanoseconds
 */
public record ReusePolicy(HttpString idHeader, long nonIdempotentIdleNanos) {
  /** Within this time after a response, a reset can't stem from the connection's idle timeout. */
  private static final Duration RECENT_RESPONSE = Duration.ofMillis(20);

  /** A policy for upstreams that don't state a keep-alive timeout. */
  public static final ReusePolicy DEFAULT =
      new ReusePolicy(new HttpString("x-request-id"), RECENT_RESPONSE.toNanos());

  /**
   * Returns a policy for upstreams that state a keep-alive timeout, which makes a reset at reuse
   * unlikely.
   *
   * @param idHeader header that carries the id of a request
   * @param nonIdempotentIdle longest idle time of a connection that is reused for a request that
   *     must not run twice
   */
  public static ReusePolicy stated(String idHeader, Duration nonIdempotentIdle) {
    return new ReusePolicy(new HttpString(idHeader), nonIdempotentIdle.toNanos());
  }
}
