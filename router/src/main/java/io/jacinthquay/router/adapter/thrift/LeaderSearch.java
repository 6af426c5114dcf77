package io.jacinthquay.router.adapter.thrift;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Selects the control VM to ask next while the leader is searched.
 *
 * <p>Handles control VMs that are replaced one after the other while a router can't reach them, so
 * that no member it knows is left: the seeds are candidates in each search and are read again for
 * each round. A round asks each candidate once, those that failed last come last, so that neither a
 * member with an outdated leader nor unreachable members keep others from being asked.
 *
 * <p>Used by one thread.
 */
final class LeaderSearch {
  private final Supplier<List<String>> seeds;
  private final RandomGenerator random;

  /** Members that the last leader or relay named. */
  private final Set<String> members = new LinkedHashSet<>();

  /** Members that others named since. */
  private final Set<String> mentioned = new LinkedHashSet<>();

  private final Set<String> unreachable = new HashSet<>();
  private final Set<String> askedInRound = new HashSet<>();
  private List<String> currentSeeds;
  private Optional<String> namedLeader = Optional.empty();

  /**
   * Returns a search that knows only the seeds.
   *
   * @param seeds returns the addresses of the current seeds, at least one
   */
  LeaderSearch(Supplier<List<String>> seeds, RandomGenerator random) {
    this.seeds = seeds;
    this.random = random;
    this.currentSeeds = List.copyOf(seeds.get());
  }

  /** Returns the address to ask next. */
  String next() {
    Optional<String> leader = namedLeader.filter(address -> !askedInRound.contains(address));
    namedLeader = Optional.empty();
    String address = leader.orElseGet(this::nextCandidate);
    askedInRound.add(address);
    return address;
  }

  private String nextCandidate() {
    List<String> candidates = notAsked();
    if (candidates.isEmpty()) {
      askedInRound.clear();
      currentSeeds = List.copyOf(seeds.get());
      candidates = notAsked();
    }
    List<String> reachable =
        candidates.stream().filter(address -> !unreachable.contains(address)).toList();
    return pick(reachable.isEmpty() ? candidates : reachable);
  }

  private List<String> notAsked() {
    Set<String> known = known();
    known.removeAll(askedInRound);
    return new ArrayList<>(known);
  }

  private String pick(List<String> addresses) {
    return addresses.get(random.nextInt(addresses.size()));
  }

  /** Returns all addresses that may be asked. */
  Set<String> known() {
    Set<String> known = new LinkedHashSet<>(members);
    known.addAll(mentioned);
    known.addAll(currentSeeds);
    return known;
  }

  /** Returns how many addresses did not answer when they were asked last. */
  int unreachableCount() {
    return unreachable.size();
  }

  /**
   * Records that an address did not answer.
   *
   * @return whether it had answered before, or was not asked yet
   */
  boolean recordFailure(String address) {
    return unreachable.add(address);
  }

  /**
   * Records an answer of a control VM that neither leads nor relays.
   *
   * @param named the members that it named
   * @param leader the leader that it named; empty if none
   */
  void recordAnswer(String address, Collection<String> named, String leader) {
    unreachable.remove(address);
    mentioned.addAll(named);
    namedLeader = Optional.of(leader).filter(name -> !name.isEmpty());
  }

  /**
   * Records a view of the leader or a relay, which ends the search.
   *
   * @param named the members that it named
   */
  void recordView(String address, Collection<String> named) {
    unreachable.remove(address);
    members.clear();
    members.addAll(named);
    mentioned.clear();
    askedInRound.clear();
    namedLeader = Optional.empty();
    unreachable.retainAll(known());
  }
}
