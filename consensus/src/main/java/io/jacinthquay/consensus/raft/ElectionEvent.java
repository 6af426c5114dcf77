package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import java.util.Objects;

/**
 * An event of an election at one replica, for logs and metrics.
 *
 * @param kind what happened
 * @param peer the replica that asked for the vote, which is this one unless a vote was refused
 * @param term the term that the vote is for
 * @param detail the state that led to it
 */
public record ElectionEvent(Kind kind, ReplicaId peer, long term, String detail) {
  /** The kinds of event. */
  public enum Kind {
    /** This replica asks the voters whether they would elect it. */
    PRE_VOTE_STARTED("pre_vote"),
    /** This replica asks for votes in a new term. */
    CAMPAIGN_STARTED("campaign"),
    /** This replica refused a pre-vote or a vote since it hears from a leader. */
    REFUSED_LEADER_HEARD("refused_leader_heard"),
    /** This replica refused a pre-vote or a vote since its own log is more complete. */
    REFUSED_LOG_BEHIND("refused_log_behind"),
    /** This replica refused a pre-vote or a vote of a term that is over, or voted for another. */
    REFUSED_TERM("refused_term");

    private final String label;

    Kind(String label) {
      this.label = label;
    }

    /** Returns the value of the label {@code kind} of metrics. */
    public String label() {
      return label;
    }
  }

  /** Checks that nothing is null. */
  public ElectionEvent {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(detail, "detail");
  }
}
