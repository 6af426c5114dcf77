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

/** Checks membership changes and plans the replacement of members that lost their disk. */
final class Reconfiguration {
  private final RaftState state;
  private final Leadership leadership;

  Reconfiguration(RaftState state, Leadership leadership) {
    this.state = state;
    this.leadership = leadership;
  }

  /** Tells whether the last change is committed and the term has a committed entry. */
  boolean mayChange() {
    return state.history.latestIndex() <= state.commitIndex
        && state.log.term(state.commitIndex) == state.term;
  }

  Either<LogFailure, Entry> propose(MembershipChange change) {
    Optional<String> objection = objection(change);
    if (objection.isPresent()) {
      return Either.left(LogFailure.of(LogError.CHANGE_REFUSED, objection.get()));
    }
    Membership next = state.membership().with(change);
    return Either.right(leadership.append(new Payload.Reconfiguration(next)));
  }

  private Optional<String> objection(MembershipChange change) {
    if (!mayChange()) {
      return Optional.of("another membership change or the leader's first entry is under way");
    }
    Membership membership = state.membership();
    ReplicaId replica = change.replica();
    if (change instanceof AddLearner) {
      return membership.contains(replica) || replica.incarnation() == ReplicaId.ANY_INCARNATION
          ? Optional.of(replica + " takes part already or has no incarnation")
          : Optional.empty();
    }
    boolean known =
        change instanceof Promote
            ? membership.learners().contains(replica)
            : membership.contains(replica);
    if (!known) {
      return Optional.of(replica + " does not take part in the required role");
    }
    if (change instanceof Promote && !leadership.isCaughtUp(replica)) {
      return Optional.of(replica + " has not caught up");
    }
    if (change instanceof Promote && !bearsItsLoss(membership, replica)) {
      return Optional.of("a voter is lost, and a quorum would hang on " + replica);
    }
    return quorumObjection(membership, membership.with(change));
  }

  private Optional<String> quorumObjection(Membership before, Membership after) {
    if (before.voters().equals(after.voters())) {
      return Optional.empty();
    }
    return after.voters().isEmpty() || !leadership.isActiveQuorum(after)
        ? Optional.of("the voters after the change would have no reachable quorum")
        : Optional.empty();
  }

  /**
   * Plans the next step of replacing a member whose disk was lost: the new replica learns, the old
   * one is removed once the new one has caught up, then the new one is promoted. A replica that
   * still answers is never replaced. Replicas of unknown members are taken in the same way where
   * there is a target of voters: up to it they are promoted, beyond it they stand by. The plan
   * follows from the membership alone, so that a new leader continues it.
   */
  Optional<MembershipChange> nextStep(List<ReplicaId> waiting) {
    Membership membership = state.membership();
    for (ReplicaId learner : membership.learners()) {
      Optional<ReplicaId> old = voterOf(membership, learner.member());
      if (leadership.isCaughtUp(learner) && old.isEmpty()) {
        if (hasPlace(membership) && bearsItsLoss(membership, learner)) {
          return Optional.of(new Promote(learner));
        }
        Optional<ReplicaId> silent =
            membership.voters().stream().filter(leadership::isSilent).findFirst();
        if (silent.isPresent() && state.options.targetVoters() > 0) {
          return Optional.of(new Remove(silent.get()));
        }
      }
      if (leadership.isCaughtUp(learner) && old.isPresent() && !leadership.isActive(old.get())) {
        return Optional.of(new Remove(old.get()));
      }
    }
    for (ReplicaId replica : waiting) {
      Optional<ReplicaId> stale = learnerOf(membership, replica.member());
      if (stale.isPresent()) {
        return Optional.of(new Remove(stale.get()));
      }
      Optional<ReplicaId> old = voterOf(membership, replica.member());
      if (old.isPresent() && !leadership.isActive(old.get())) {
        return Optional.of(new AddLearner(replica));
      }
      if (old.isEmpty() && state.options.targetVoters() > 0) {
        return Optional.of(new AddLearner(replica));
      }
    }
    return Optional.empty();
  }

  /**
   * Tells whether a learner may be promoted although it can be lost in the same moment. While a
   * voter is lost, it must not be what the larger quorum hangs on; the lost voter goes first.
   */
  private boolean bearsItsLoss(Membership membership, ReplicaId learner) {
    long active = membership.voters().stream().filter(leadership::isActive).count();
    boolean whole = active == membership.voters().size();
    return whole || active >= membership.with(new Promote(learner)).quorum();
  }

  private boolean hasPlace(Membership membership) {
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
