package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import java.util.Objects;

/** The content of a log entry. */
public sealed interface Payload {
  /** The empty entry that a new leader appends to commit an entry of its own term. */
  record NoOp() implements Payload {}

  /**
   * A command for the state machine.
   *
   * @param bytes the bytes, which must not be changed
   */
  record Command(byte[] bytes) implements Payload {
    /** Checks that the bytes are present. */
    public Command {
      Objects.requireNonNull(bytes, "bytes");
    }
  }

  /**
   * A membership, in force as soon as it is in the log.
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
