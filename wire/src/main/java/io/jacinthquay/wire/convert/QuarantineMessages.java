package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.quarantine.BrokenSend;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.wire.gen.BrokenSendMessage;
import io.jacinthquay.wire.gen.QuarantinedPartMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Converts quarantined parts of prompts and the evidence about them. */
public final class QuarantineMessages {
  private QuarantineMessages() {}

  /** Returns the message for a quarantined part. */
  public static QuarantinedPartMessage toMessage(QuarantinedPart part) {
    return new QuarantinedPartMessage(
        part.part().value(), part.sinceMillis(), part.retryAtMillis(), part.trials());
  }

  /** Returns the messages for quarantined parts. */
  public static List<QuarantinedPartMessage> toMessages(Collection<QuarantinedPart> parts) {
    return new ArrayList<>(parts.stream().map(QuarantineMessages::toMessage).toList());
  }

  /**
   * Returns the quarantined part that a message carries.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public static QuarantinedPart toPart(QuarantinedPartMessage message) {
    return new QuarantinedPart(
        new PartId(message.getPart()),
        message.getSinceMillis(),
        message.getRetryAtMillis(),
        message.getTrials());
  }

  /** Returns the quarantined parts that messages carry. */
  public static List<QuarantinedPart> toParts(List<QuarantinedPartMessage> messages) {
    return messages.stream().map(QuarantineMessages::toPart).toList();
  }

  /** Returns the ids that a message carries. */
  public static List<PartId> toIds(List<Long> values) {
    return values.stream().map(PartId::new).toList();
  }

  /** Returns the values of ids. */
  public static List<Long> toValues(Collection<PartId> parts) {
    return new ArrayList<>(parts.stream().map(PartId::value).toList());
  }

  /**
   * Returns the message for a broken send.
   *
   * @param wallMillis the time of day of the router when the send broke
   */
  public static BrokenSendMessage toMessage(BrokenSend send, long wallMillis) {
    return new BrokenSendMessage(send.upstream().value(), toValues(send.parts()), wallMillis);
  }

  /**
   * Returns the broken send that a message carries.
   *
   * @param atNanos when the send broke, on the monotonic clock of the receiver
   */
  public static BrokenSend toBrokenSend(BrokenSendMessage message, long atNanos) {
    return new BrokenSend(
        new UpstreamId(message.getUpstream()), toIds(message.getParts()), atNanos);
  }
}
