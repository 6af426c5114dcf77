package io.jacinthquay.decision.slots;

import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Divides the limit of every upstream between the routers of a failure domain.
 *
 * <p>Each unit of a limit is assigned to one router by rendezvous hashing. An owner may grant only
 * the units of the routers that are in session with it. A router is in session with one owner at a
 * time, so two owners that do not know of each other never grant the same unit.
 */
final class Shares {
  private final Map<UpstreamId, List<VmId>> units = new HashMap<>();
  private List<VmId> members = List.of();

  List<VmId> members() {
    return members;
  }

  void setMembers(List<VmId> next) {
    if (!next.equals(members)) {
      members = next;
      units.clear();
    }
  }

  /**
   * Returns how many units of the limit of an upstream belong to routers that match a predicate.
   */
  int share(UpstreamId upstream, int limit, Predicate<VmId> counts) {
    if (members.isEmpty()) {
      return 0;
    }
    if (members.stream().allMatch(counts)) {
      return limit;
    }
    List<VmId> owners = units.computeIfAbsent(upstream, key -> new ArrayList<>());
    long key = RendezvousHash.hash(upstream.value());
    while (owners.size() < limit) {
      long unitKey = RendezvousHash.mix(key + owners.size());
      owners.add(RendezvousHash.choose(unitKey, members).orElseThrow());
    }
    int share = 0;
    for (int i = 0; i < limit; i++) {
      if (counts.test(owners.get(i))) {
        share++;
      }
    }
    return share;
  }

  void forget(UpstreamId upstream) {
    units.remove(upstream);
  }
}
