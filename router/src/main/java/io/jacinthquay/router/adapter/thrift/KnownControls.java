package io.jacinthquay.router.adapter.thrift;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * What the link to the control VMs has learned of them, for others that call the leader.
 * Thread-safe.
 */
final class KnownControls {
  private record State(Optional<String> leader, List<String> addresses, int routers) {}

  private final Supplier<List<String>> seeds;
  private volatile State state = new State(Optional.empty(), List.of(), 1);

  /** Returns the state before the first answer, in which only the seeds are known. */
  KnownControls(Supplier<List<String>> seeds) {
    this.seeds = seeds;
  }

  /**
   * Records an answer of a control VM.
   *
   * @param leader address of the leader that it named; empty if none
   * @param addresses all addresses that may be asked
   */
  void recordAnswer(String leader, Collection<String> addresses) {
    Optional<String> named = Optional.of(leader).filter(address -> !address.isEmpty());
    state = new State(named, List.copyOf(addresses), state.routers());
  }

  /** Records the number of routers that share the leader. */
  void recordRouters(int routers) {
    state = new State(state.leader(), state.addresses(), Math.max(1, routers));
  }

  /** Returns the number of routers that share the leader, 1 or more. */
  int routers() {
    return state.routers();
  }

  /** Returns the addresses to ask for the leader, the likely one first. */
  List<String> candidates() {
    State current = state;
    Set<String> candidates = new LinkedHashSet<>();
    current.leader().ifPresent(candidates::add);
    candidates.addAll(current.addresses());
    candidates.addAll(seeds.get());
    return new ArrayList<>(candidates);
  }
}
