package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.learning.RateUse;
import io.jacinthquay.model.DomainId;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Settings for forwarding requests.
 *
 * @param domain failure domain of this router
 * @param retryLimits limits on retries; empty if only the routes limit them
 * @param coldLimits limits on sends to cold upstreams; empty if the deployment states none
 * @param usageWindow length of a usage window; empty if usage is not counted
 * @param learnedParts what the router does with learned rates; nothing is learned if empty
 * @param startHold time after startup during which requests wait for the first document
 */
public record ForwardOptions(
    DomainId domain,
    Optional<RetryLimits> retryLimits,
    Optional<ColdLimits> coldLimits,
    Optional<Duration> usageWindow,
    Set<LearnedPart> learnedParts,
    Duration startHold) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public ForwardOptions {
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(retryLimits, "retryLimits");
    Objects.requireNonNull(coldLimits, "coldLimits");
    Objects.requireNonNull(usageWindow, "usageWindow");
    Objects.requireNonNull(startHold, "startHold");
    learnedParts = Set.copyOf(learnedParts);
  }

  /**
   * Returns whether the router learns what upstreams bear: only where the deployment states no
   * limits on sends to upstreams that start, since nothing else tells it then.
   */
  public boolean learnsRates() {
    return coldLimits.isEmpty() && !learnedParts.isEmpty();
  }

  /** Returns whether a decision uses learned rates. */
  public boolean uses(LearnedPart part) {
    return learnsRates() && learnedParts.contains(part);
  }

  /** Returns what the selection of upstreams does with rates. */
  RateUse rateUse() {
    if (uses(LearnedPart.PLACEMENT)) {
      return RateUse.PLACE;
    }
    return learnsRates() ? RateUse.OBSERVE : RateUse.NONE;
  }

  /**
   * Limits on retries, over all routers.
   *
   * @param ratio retries allowed per first send
   * @param extra additional retries allowed per window
   * @param window length of the window
   */
  public record RetryLimits(double ratio, double extra, Duration window) {
    /** Checks that the window is present. */
    public RetryLimits {
      Objects.requireNonNull(window, "window");
    }
  }

  /**
   * Limits on sends to a cold upstream whose pool states a rate.
   *
   * @param overage factor applied to the stated rate
   * @param tolerance additional sends per second
   */
  public record ColdLimits(double overage, double tolerance) {
    /** The stated rate itself. */
    static final ColdLimits STATED = new ColdLimits(1, 0);
  }
}
