package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import java.util.Objects;

/** What a log entry carries. */
public sealed interface Payload {
  /** The entry with which a new leader confirms its term. */
  record NoOp() implements Payload {}

  /**
   * A command for the state machine.
   *
   * @param bytes the bytes, not changed by anyone
   */
  record Command(byte[] bytes) implements Payload {
    /** Checks that the bytes are present. */
    public Command {
      Objects.requireNonNull(bytes, "bytes");
    }
  }

  /**
   * A membership, in force as soon as it stands in the log.
   *
   * @param membership the whole membership after the change
   */
  record Reconfiguration(Membership membership) implements Payload {
    /** Checks that the membership is present. */
    public Reconfiguration {
      Objects.requireNonNull(membership, "membership");
    }
  }
}
