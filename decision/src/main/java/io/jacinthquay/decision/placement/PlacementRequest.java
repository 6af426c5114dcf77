package io.jacinthquay.decision.placement;

import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;
import java.util.Set;

/**
 * What placement needs to know of a request.
 *
 * @param prefix the prompt in hashed blocks; {@link PromptPrefix#EMPTY} for plain services
 * @param promptTokens tokens of the prompt, 0 or more
 * @param expectedOutputTokens estimate of the tokens of the answer, 0 or more
 * @param tier its tier, by which waits for slots differ
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
   * @throws NullPointerException if a part is missing
   */
  public PlacementRequest {
    Objects.requireNonNull(prefix, "prefix");
    Objects.requireNonNull(tier, "tier");
    excluded = Set.copyOf(excluded);
    if (promptTokens < 0 || expectedOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must not be negative");
    }
  }

  /** Makes a request of the highest tier. */
  public PlacementRequest(
      PromptPrefix prefix, int promptTokens, int expectedOutputTokens, Set<UpstreamId> excluded) {
    this(prefix, promptTokens, expectedOutputTokens, HIGHEST, excluded);
  }

  /** Returns the same request with its tier. */
  public PlacementRequest inTier(Tier ofClass) {
    return new PlacementRequest(prefix, promptTokens, expectedOutputTokens, ofClass, excluded);
  }

  /** Returns a request to a plain service, which has no prompt. */
  public static PlacementRequest plain() {
    return new PlacementRequest(PromptPrefix.EMPTY, 0, 0, Set.of());
  }

  /** Returns the same request with other exclusions. */
  public PlacementRequest excluding(Set<UpstreamId> upstreams) {
    return new PlacementRequest(prefix, promptTokens, expectedOutputTokens, tier, upstreams);
  }
}
