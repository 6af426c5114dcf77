package io.jacinthquay.decision.placement;

import java.time.Duration;

/**
 * The settings of placement; {@link #defaults()} suits every pool.
 *
 * <pre>{@code
 * PlacementSettings settings = PlacementSettings.defaults().withChoices(4);
 * }</pre>
 *
 * @param localCandidates maximum number of upstreams of the local failure domain in the stable
 *     subset, 1 to 63
 * @param remoteCandidates maximum number of upstreams of other failure domains in it, 0 or more;
 *     the sum of both is at most {@link #MAX_CANDIDATES}
 * @param choices number of random upstreams compared per request, in addition to those preferred
 *     for a cached prefix or affinity, at least 1
 * @param loadBound multiple of the pool's mean load above which prefix affinity is ignored, above 1
 * @param reportHalfLifeNanos age at which a load report has half its weight, in nanoseconds, above
 *     0
 * @param spillMarginNanos how much sooner another failure domain must answer to be preferred, in
 *     nanoseconds, 0 or more
 * @param ejectFactor latency relative to the pool's median above which an upstream is ejected,
 *     above 1
 * @param maxEjectedShare largest share of the candidates that may be ejected at once, 0 to 1
 * @param ejectionNanos length of the first ejection, in nanoseconds, above 0; it doubles with each
 *     further one
 * @param rampNanos time over which the share of a new or returning upstream ramps up, in
 *     nanoseconds, above 0
 */
public record PlacementSettings(
    int localCandidates,
    int remoteCandidates,
    int choices,
    double loadBound,
    long reportHalfLifeNanos,
    long spillMarginNanos,
    double ejectFactor,
    double maxEjectedShare,
    long ejectionNanos,
    long rampNanos) {
  /**
   * Maximum number of upstreams in the stable subset of one router; the sets of candidates are
   * {@code long} bit sets.
   */
  public static final int MAX_CANDIDATES = 64;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public PlacementSettings {
    check("localCandidates", localCandidates >= 1 && localCandidates < MAX_CANDIDATES);
    check(
        "remoteCandidates",
        remoteCandidates >= 0 && localCandidates + remoteCandidates <= MAX_CANDIDATES);
    check("choices", choices >= 1);
    check("loadBound", loadBound > 1);
    check("reportHalfLifeNanos", reportHalfLifeNanos > 0);
    check("spillMarginNanos", spillMarginNanos >= 0);
    check("ejectFactor", ejectFactor > 1);
    check("maxEjectedShare", maxEjectedShare >= 0 && maxEjectedShare <= 1);
    check("ejectionNanos", ejectionNanos > 0);
    check("rampNanos", rampNanos > 0);
  }

  private static void check(String name, boolean valid) {
    if (!valid) {
      throw new IllegalArgumentException(name + " is out of range");
    }
  }

  /** Returns the default settings. */
  public static PlacementSettings defaults() {
    return new PlacementSettings(
        48,
        16,
        8,
        1.25,
        Duration.ofSeconds(1).toNanos(),
        Duration.ofMillis(20).toNanos(),
        2.5,
        0.34,
        Duration.ofSeconds(5).toNanos(),
        Duration.ofSeconds(10).toNanos());
  }

  /**
   * Returns a copy of these settings with another number of upstreams compared per request.
   *
   * @throws IllegalArgumentException if {@code count} is below 1
   */
  public PlacementSettings withChoices(int count) {
    return new PlacementSettings(
        localCandidates,
        remoteCandidates,
        count,
        loadBound,
        reportHalfLifeNanos,
        spillMarginNanos,
        ejectFactor,
        maxEjectedShare,
        ejectionNanos,
        rampNanos);
  }
}
