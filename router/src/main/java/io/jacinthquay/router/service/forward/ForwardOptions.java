package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.DomainId;
import java.time.Duration;
import java.util.Objects;

/**
 * Settings of the forwarding of requests.
 *
 * @param domain failure domain of this router
 * @param retryRatio repeats per first send that all routers may make together
 * @param retryExtra repeats beside, in a window, over all routers
 * @param retryWindow length of the window
 * @param coldOverage factor on the stated rate of a cold upstream up to which sends are allowed
 * @param coldTolerance sends a second to a cold upstream allowed beside
 * @param usageWindow length of a window in which usage is counted
 * @param startHold time after the start in which requests wait for the first document
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
  /** Checks that all parts are present. */
  public ForwardOptions {
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(retryWindow, "retryWindow");
    Objects.requireNonNull(usageWindow, "usageWindow");
    Objects.requireNonNull(startHold, "startHold");
  }
}
