package io.jacinthquay.consensus;

import java.util.Collections;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * The replicas of a cluster: voters count towards every quorum, learners only receive the log.
 *
 * @param voters the voters
 * @param learners the learners, disjoint from the voters
 */
public record Membership(NavigableSet<ReplicaId> voters, NavigableSet<ReplicaId> learners) {
  /** A membership without replicas, which an empty data folder has. */
  public static final Membership EMPTY = new Membership(Set.of(), Set.of());

  /**
   * Copies the sets.
   *
   * @throws IllegalArgumentException if a replica is both voter and learner
   */
  public Membership {
    voters = Collections.unmodifiableNavigableSet(new TreeSet<>(voters));
    learners = Collections.unmodifiableNavigableSet(new TreeSet<>(learners));
    if (!Collections.disjoint(voters, learners)) {
      throw new IllegalArgumentException("a replica is both voter and learner");
    }
  }

  /**
   * Creates a membership from unsorted sets.
   *
   * @param voters the voters
   * @param learners the learners
   */
  public Membership(Set<ReplicaId> voters, Set<ReplicaId> learners) {
    this(new TreeSet<>(voters), new TreeSet<>(learners));
  }

  /**
   * Returns the number of voters that form a quorum.
   *
   * @return more than half of the voters
   */
  public int quorum() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns whether a replica is a voter or a learner.
   *
   * @param replica the replica
   * @return true if it is a voter or a learner
   */
  public boolean contains(ReplicaId replica) {
    return voters.contains(replica) || learners.contains(replica);
  }

  /**
   * Returns all voters and learners.
   *
   * @return the replicas, sorted
   */
  public NavigableSet<ReplicaId> replicas() {
    TreeSet<ReplicaId> all = new TreeSet<>(voters);
    all.addAll(learners);
    return all;
  }

  /**
   * Returns the membership after a change.
   *
   * @param change the change
   * @return the changed membership
   */
  public Membership with(MembershipChange change) {
    TreeSet<ReplicaId> nextVoters = new TreeSet<>(voters);
    TreeSet<ReplicaId> nextLearners = new TreeSet<>(learners);
    nextVoters.remove(change.replica());
    nextLearners.remove(change.replica());
    if (change instanceof MembershipChange.AddLearner) {
      nextLearners.add(change.replica());
    } else if (change instanceof MembershipChange.Promote) {
      nextVoters.add(change.replica());
    }
    return new Membership(nextVoters, nextLearners);
  }
}
