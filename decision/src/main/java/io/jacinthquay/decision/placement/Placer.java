package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses the upstream of a request.
 *
 * <pre>{@code
 * Optional<Placement> choice = placer.place(request, slots::hasFree, now, random);
 * choice.ifPresent(p -> dispatch = table.dispatched(p.upstream(), request, now));
 * }</pre>
 */
public interface Placer {
  /**
   * Returns the choice, or nothing if no upstream may take the request.
   *
   * @param request what is known of the request
   * @param usable whether the caller can send to an upstream now, for instance because it holds a
   *     free slot
   * @param nowNanos the time on a monotonic clock, in nanoseconds
   * @param random the source of random choices
   */
  Optional<Placement> place(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      long nowNanos,
      SplittableRandom random);
}
