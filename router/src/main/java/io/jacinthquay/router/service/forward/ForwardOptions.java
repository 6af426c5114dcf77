package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.DomainId;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings for forwarding requests.
 *
 * @param domain failure domain of this router
 * @param retryRatio retries allowed per first send, over all routers
 * @param retryExtra additional retries allowed per window, over all routers
 * @param retryWindow length of the retry budget's window
 * @param coldOverage factor applied to the stated send rate of a cold upstream to get its limit
 * @param coldTolerance additional sends per second allowed to a cold upstream
 * @param usageWindow length of a usage window
 * @param startHold time after startup during which requests wait for the first document
 */
public record ForwardOptions(
    DomainId domain,
    double retryRatio,
    double retryExtra,
    Duration retryWindow,
    double coldOverage,
    double coldTolerance,
    Duration usageWindow,
    Duration startHold) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public ForwardOptions {
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(retryWindow, "retryWindow");
    Objects.requireNonNull(usageWindow, "usageWindow");
    Objects.requireNonNull(startHold, "startHold");
  }
}
