package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.MembershipChange.AddLearner;
import io.jacinthquay.consensus.MembershipChange.Promote;
import io.jacinthquay.consensus.MembershipChange.Remove;
import io.jacinthquay.consensus.ReplicaId;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** Validates membership changes and plans the replacement of members that lost their disk. */
final class Reconfiguration {
  private final RaftState state;
  private final Leadership leadership;

  Reconfiguration(RaftState state, Leadership leadership) {
    this.state = state;
    this.leadership = leadership;
  }

  /** Returns whether the last membership change and an entry of this term are committed. */
  boolean canChange() {
    return state.history.latestIndex() <= state.commitIndex
        && state.log.term(state.commitIndex) == state.term;
  }

  Either<LogFailure, Entry> propose(MembershipChange change) {
    Optional<String> rejection = rejection(change);
    if (rejection.isPresent()) {
      return Either.left(LogFailure.of(LogError.CHANGE_REFUSED, rejection.get()));
    }
    Membership next = state.membership().with(change);
    return Either.right(leadership.append(new Payload.Reconfiguration(next)));
  }

  private Optional<String> rejection(MembershipChange change) {
    if (!canChange()) {
      return Optional.of(
          "another membership change or the leader's first entry is not committed yet");
    }
    Membership membership = state.membership();
    ReplicaId replica = change.replica();
    if (change instanceof AddLearner) {
      return membership.contains(replica) || replica.incarnation() == ReplicaId.ANY_INCARNATION
          ? Optional.of(replica + " is already a member or has no incarnation")
          : Optional.empty();
    }
    boolean hasRequiredRole =
        change instanceof Promote
            ? membership.learners().contains(replica)
            : membership.contains(replica);
    if (!hasRequiredRole) {
      return Optional.of(replica + " is not a member in the required role");
    }
    if (change instanceof Promote && !leadership.isCaughtUp(replica)) {
      return Optional.of(replica + " has not caught up");
    }
    if (change instanceof Promote && !toleratesLossOf(membership, replica)) {
      return Optional.of("a voter is inactive, and a quorum would depend on " + replica);
    }
    return quorumRejection(membership, membership.with(change));
  }

  private Optional<String> quorumRejection(Membership before, Membership after) {
    if (before.voters().equals(after.voters())) {
      return Optional.empty();
    }
    return after.voters().isEmpty() || !leadership.isActiveQuorum(after)
        ? Optional.of("the voters after the change would have no active quorum")
        : Optional.empty();
  }

  /**
   * Plans the next change to replace a member whose disk was lost: the new replica is added as a
   * learner, the old one is removed once the new one has caught up, then the new one is promoted. A
   * replica that still replies is never replaced. Replicas of unknown members are added in the same
   * way if there is a target number of voters: up to the target they are promoted, beyond it they
   * stay learners until a voter stops replying. The progress of a replacement is kept in the
   * membership alone, so that a new leader continues it.
   */
  Optional<MembershipChange> planNextChange(List<ReplicaId> joining) {
    Membership membership = state.membership();
    for (ReplicaId learner : membership.learners()) {
      Optional<ReplicaId> previousReplica = voterOf(membership, learner.member());
      if (leadership.isCaughtUp(learner) && previousReplica.isEmpty()) {
        if (hasVoterVacancy(membership) && toleratesLossOf(membership, learner)) {
          return Optional.of(new Promote(learner));
        }
        Optional<ReplicaId> unresponsive =
            membership.voters().stream().filter(leadership::isUnresponsive).findFirst();
        if (unresponsive.isPresent() && state.options.targetVoters() > 0) {
          return Optional.of(new Remove(unresponsive.get()));
        }
      }
      if (leadership.isCaughtUp(learner)
          && previousReplica.isPresent()
          && !leadership.isActive(previousReplica.get())) {
        return Optional.of(new Remove(previousReplica.get()));
      }
    }
    for (ReplicaId replica : joining) {
      Optional<ReplicaId> previousLearner = learnerOf(membership, replica.member());
      if (previousLearner.isPresent()) {
        return Optional.of(new Remove(previousLearner.get()));
      }
      Optional<ReplicaId> previousReplica = voterOf(membership, replica.member());
      if (previousReplica.isPresent() && !leadership.isActive(previousReplica.get())) {
        return Optional.of(new AddLearner(replica));
      }
      if (previousReplica.isEmpty() && state.options.targetVoters() > 0) {
        return Optional.of(new AddLearner(replica));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether the promotion of a learner is safe even if the learner is lost at the same
   * time. While a voter is inactive, the quorum of the larger membership must not depend on the
   * learner; the inactive voter has to be removed first.
   */
  private boolean toleratesLossOf(Membership membership, ReplicaId learner) {
    long active = membership.voters().stream().filter(leadership::isActive).count();
    boolean allActive = active == membership.voters().size();
    return allActive || active >= membership.with(new Promote(learner)).quorum();
  }

  private boolean hasVoterVacancy(Membership membership) {
    int target = state.options.targetVoters();
    return target == 0 || membership.voters().size() < target;
  }

  private static Optional<ReplicaId> voterOf(Membership membership, MemberId member) {
    return membership.voters().stream().filter(v -> v.member().equals(member)).findFirst();
  }

  private static Optional<ReplicaId> learnerOf(Membership membership, MemberId member) {
    return membership.learners().stream().filter(l -> l.member().equals(member)).findFirst();
  }
}
