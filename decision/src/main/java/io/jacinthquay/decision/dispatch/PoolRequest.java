package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.Tier;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The resources and targets of a request to a pool.
 *
 * @param pool the pool
 * @param tier priority tier
 * @param promptTokens prompt tokens, 0 for plain services
 * @param outputTokens most output tokens, 0 for plain services
 * @param parts the parts of the prompt in order; the last one is the request's own
 * @param targetMillis target for the time from arrival to the first token, in milliseconds
 * @param gapTargetMillis target for the longest pause between events, in milliseconds; 0 for none
 * @param arrivedNanos arrival time, on the monotonic clock
 * @param deadlineNanos time at which the caller stops waiting, on the monotonic clock
 * @param version the version of the software that alone may serve it; empty if any version may
 */
public record PoolRequest(
    PoolName pool,
    Tier tier,
    int promptTokens,
    int outputTokens,
    List<PromptPart> parts,
    int targetMillis,
    int gapTargetMillis,
    long arrivedNanos,
    long deadlineNanos,
    Optional<SoftwareVersion> version) {
  /** Pause target of a request with a sensitivity of 1, in milliseconds. */
  private static final double REFERENCE_GAP_MILLIS = 100;

  /** Checks that the pool and tier are present and copies the list. */
  public PoolRequest {
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(tier, "tier");
    Objects.requireNonNull(version, "version");
    parts = List.copyOf(parts);
  }

  /** Returns this request, to be served by one version only. */
  public PoolRequest boundTo(SoftwareVersion only) {
    return new PoolRequest(
        pool,
        tier,
        promptTokens,
        outputTokens,
        parts,
        targetMillis,
        gapTargetMillis,
        arrivedNanos,
        deadlineNanos,
        Optional.of(only));
  }

  /** Returns whether the version of an upstream may serve the request. */
  public boolean accepts(UpstreamListing listing) {
    return version.isEmpty() || version.get().equals(listing.version());
  }

  /**
   * Returns whether the request suits some upstreams better than others: parts of its prompt may be
   * cached there, or only one version may serve it. If a request without a preference finds no
   * place, those behind it in a queue need not be asked.
   */
  public boolean hasPlacementPreference() {
    return !parts.isEmpty() || version.isPresent();
  }

  /** Returns the most tokens that the request keeps in engine memory. */
  public long memoryTokens() {
    return (long) promptTokens + outputTokens;
  }

  /** Returns the number of prompt tokens that no other request shares. */
  public int ownTokens() {
    return parts.isEmpty() ? promptTokens : parts.get(parts.size() - 1).tokens();
  }

  /** Returns how sensitive the request is to pauses: 1 for a pause target of 100 ms, 0 for none. */
  public double pauseSensitivity() {
    return gapTargetMillis <= 0 ? 0 : REFERENCE_GAP_MILLIS / gapTargetMillis;
  }

  /** Returns the scheduling priority at engines; 0 is first. */
  public int urgency() {
    return Urgency.of(this);
  }

  /** Returns the parts of the prompt that other requests share. */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the id of the longest shared prefix, or 0 if the prompt shares nothing. */
  public long sharedId() {
    return parts.size() < 2 ? 0 : parts.get(parts.size() - 2).id();
  }
}
