package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses the upstream of a request.
 *
 * <pre>{@code
 * List<Placement> ranked = placer.rank(request, u -> true, 8, now, random);
 * // admission grants a slot on one of them
 * Dispatch dispatch = table.recordDispatch(granted, request, now);
 * }</pre>
 */
public interface Placer {
  /**
   * Returns the best choices, best first; empty if no upstream is available.
   *
   * @param request the request
   * @param usable whether the caller can send to an upstream now, for example because it holds a
   *     free slot there
   * @param limit maximum number of choices to return, at least 1
   * @param nowNanos the time on a monotonic clock, in nanoseconds
   * @param random the source of random choices
   */
  List<Placement> rank(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      int limit,
      long nowNanos,
      SplittableRandom random);

  /** Returns the best choice, or empty if no upstream is available. */
  default Optional<Placement> place(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      long nowNanos,
      SplittableRandom random) {
    return rank(request, usable, 1, nowNanos, random).stream().findFirst();
  }
}
