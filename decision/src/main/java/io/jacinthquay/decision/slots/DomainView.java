package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.List;

/**
 * The routers of a failure domain as known by one router.
 *
 * @param members all routers that may hold slots, including unreachable ones until they are known
 *     to have stopped; each contributes an equal share of every upstream
 * @param live the reachable routers; the owner of a scope is one of them
 */
public record DomainView(List<VmId> members, List<VmId> live) {
  /** Copies and sorts the lists and removes duplicates. */
  public DomainView {
    members = members.stream().sorted().distinct().toList();
    live = live.stream().sorted().distinct().toList();
  }

  /** Returns the view of a router without peers. */
  public static DomainView alone(VmId self) {
    return new DomainView(List.of(self), List.of(self));
  }
}
