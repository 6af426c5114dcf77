package io.jacinthquay.router.adapter.http;

import io.undertow.util.HttpString;
import java.time.Duration;

/**
 * How connections to upstreams are reused and requests on them are named.
 *
 * @param idHeader header that carries the id of a request and is echoed in its answer
 * @param onceIdleNanos longest idle time of a connection that may carry a request which must not
 *     run twice, in nanoseconds
 */
public record ReusePolicy(HttpString idHeader, long onceIdleNanos) {
  /** A reset on a connection that answered this lately can't stem from its idle timeout. */
  private static final Duration JUST_ANSWERED = Duration.ofMillis(20);

  /** Suits upstreams that do not state how long they keep connections. */
  public static final ReusePolicy DEFAULT =
      new ReusePolicy(new HttpString("x-request-id"), JUST_ANSWERED.toNanos());

  /**
   * Returns a policy for upstreams that state how long they keep connections, which makes a reset
   * at reuse unlikely.
   *
   * @param idHeader header that carries the id of a request
   * @param onceIdle longest idle time before a request that must not run twice
   */
  public static ReusePolicy stated(String idHeader, Duration onceIdle) {
    return new ReusePolicy(new HttpString(idHeader), onceIdle.toNanos());
  }
}
