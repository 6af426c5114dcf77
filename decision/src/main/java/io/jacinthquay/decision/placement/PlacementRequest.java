package io.jacinthquay.decision.placement;

import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;
import java.util.Set;

/**
 * The properties of a request that placement depends on.
 *
 * @param prefix block hashes of the prompt; {@link PromptPrefix#EMPTY} for plain services
 * @param promptTokens number of prompt tokens, 0 or more
 * @param expectedOutputTokens estimated number of output tokens, 0 or more
 * @param tier the tier, which the wait for a slot depends on
 * @param excluded upstreams that must not be chosen, such as those that failed this request
 */
public record PlacementRequest(
    PromptPrefix prefix,
    int promptTokens,
    int expectedOutputTokens,
    Tier tier,
    Set<UpstreamId> excluded) {
  private static final Tier HIGHEST = new Tier(0);

  /**
   * Checks the ranges and copies the set.
   *
   * @throws IllegalArgumentException if a number is negative
   * @throws NullPointerException if a component is null
   */
  public PlacementRequest {
    Objects.requireNonNull(prefix, "prefix");
    Objects.requireNonNull(tier, "tier");
    excluded = Set.copyOf(excluded);
    if (promptTokens < 0 || expectedOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must not be negative");
    }
  }

  /** Creates a request of the highest tier. */
  public PlacementRequest(
      PromptPrefix prefix, int promptTokens, int expectedOutputTokens, Set<UpstreamId> excluded) {
    this(prefix, promptTokens, expectedOutputTokens, HIGHEST, excluded);
  }

  /** Returns a copy of this request with another tier. */
  public PlacementRequest withTier(Tier newTier) {
    return new PlacementRequest(prefix, promptTokens, expectedOutputTokens, newTier, excluded);
  }

  /** Returns a request to a plain service, which has no prompt. */
  public static PlacementRequest plain() {
    return new PlacementRequest(PromptPrefix.EMPTY, 0, 0, Set.of());
  }

  /** Returns a copy of this request with other excluded upstreams. */
  public PlacementRequest excluding(Set<UpstreamId> upstreams) {
    return new PlacementRequest(prefix, promptTokens, expectedOutputTokens, tier, upstreams);
  }
}
