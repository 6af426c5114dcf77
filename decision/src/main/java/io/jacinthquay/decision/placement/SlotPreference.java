package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The upstream preferences of a slot request, derived from a ranking.
 *
 * <pre>{@code
 * SlotPreference.of(placer.rank(request, u -> true, 8, now, random), failed, table.ejectedUpstreams(now));
 * }</pre>
 *
 * @param domain the failure domain of the best choice, whose slot owner receives the request
 * @param expectedFirstTokenNanos expected time to the first token on the best choice, in
 *     nanoseconds
 * @param preferred upstreams of that failure domain within {@link #TOLERANCE_NANOS} of the best,
 *     best first
 * @param avoided upstreams that must not receive the request
 */
public record SlotPreference(
    DomainId domain,
    long expectedFirstTokenNanos,
    List<UpstreamId> preferred,
    List<UpstreamId> avoided) {
  /**
   * Maximum difference to the expected time of the best choice for a preferred upstream, in
   * nanoseconds.
   */
  public static final long TOLERANCE_NANOS = 10_000_000;

  /** Copies the lists. */
  public SlotPreference {
    preferred = List.copyOf(preferred);
    avoided = List.copyOf(avoided);
  }

  /**
   * Returns the preferences, or empty if the ranking is empty.
   *
   * @param ranked the choices, best first
   * @param failed upstreams on which the request failed before
   * @param ejected ejected upstreams
   */
  public static Optional<SlotPreference> of(
      List<Placement> ranked, Set<UpstreamId> failed, Set<UpstreamId> ejected) {
    if (ranked.isEmpty()) {
      return Optional.empty();
    }
    Placement best = ranked.get(0);
    List<UpstreamId> preferred = new ArrayList<>();
    for (Placement p : ranked) {
      long difference = p.expectedFirstTokenNanos() - best.expectedFirstTokenNanos();
      if (p.domain().equals(best.domain()) && difference <= TOLERANCE_NANOS) {
        preferred.add(p.upstream());
      }
    }
    Set<UpstreamId> avoided = new HashSet<>(ejected);
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
