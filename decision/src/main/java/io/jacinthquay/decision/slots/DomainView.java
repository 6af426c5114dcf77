package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.List;

/**
 * The routers of one failure domain as one router knows them.
 *
 * @param voters every router that may hold slots, also a silent one, until it is known to be gone;
 *     each vouches for an equal share of every upstream
 * @param live the routers that answer; the owner of a scope is one of them
 */
public record DomainView(List<VmId> voters, List<VmId> live) {
  /** Copies and sorts the lists. */
  public DomainView {
    voters = voters.stream().sorted().distinct().toList();
    live = live.stream().sorted().distinct().toList();
  }

  /** Returns the view of a router that is alone. */
  public static DomainView alone(VmId self) {
    return new DomainView(List.of(self), List.of(self));
  }
}
