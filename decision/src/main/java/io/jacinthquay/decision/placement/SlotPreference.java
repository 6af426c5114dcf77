package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A ranking in the form in which slots are asked for.
 *
 * <pre>{@code
 * SlotPreference.of(placer.rank(request, u -> true, 8, now, random), failed, table.closed(now));
 * }</pre>
 *
 * @param domain the failure domain of the best choice, whose owner is asked
 * @param expectedFirstTokenNanos expected time to the first token on the best choice, in
 *     nanoseconds
 * @param preferred upstreams of that failure domain that are about as good as the best, best first
 * @param avoided upstreams that must not get the request
 */
public record SlotPreference(
    DomainId domain,
    long expectedFirstTokenNanos,
    List<UpstreamId> preferred,
    List<UpstreamId> avoided) {
  /** How much worse than the best an upstream may be to be preferred too, in nanoseconds. */
  public static final long TOLERANCE_NANOS = 10_000_000;

  /** Copies the lists. */
  public SlotPreference {
    preferred = List.copyOf(preferred);
    avoided = List.copyOf(avoided);
  }

  /**
   * Returns the preference, or nothing if nothing was ranked.
   *
   * @param ranked the choices, best first
   * @param failed upstreams that failed the request before
   * @param closed upstreams that are ejected
   */
  public static Optional<SlotPreference> of(
      List<Placement> ranked, Set<UpstreamId> failed, Set<UpstreamId> closed) {
    if (ranked.isEmpty()) {
      return Optional.empty();
    }
    Placement best = ranked.get(0);
    List<UpstreamId> preferred = new ArrayList<>();
    for (Placement p : ranked) {
      long behind = p.expectedFirstTokenNanos() - best.expectedFirstTokenNanos();
      if (p.domain().equals(best.domain()) && behind <= TOLERANCE_NANOS) {
        preferred.add(p.upstream());
      }
    }
    Set<UpstreamId> avoided = new HashSet<>(closed);
    avoided.removeAll(preferred);
    avoided.addAll(failed);
    return Optional.of(
        new SlotPreference(
            best.domain(),
            best.expectedFirstTokenNanos(),
            preferred,
            avoided.stream().sorted().toList()));
  }
}
