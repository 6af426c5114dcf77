package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.function.Function;

/** Stamps and sends the messages of an owner and publishes its decisions. */
final class SlotOutbox {
  private final VmId self;
  private final long incarnation;
  private final SlotSender sender;
  private final DecisionListener listener;
  private long nowNanos;

  SlotOutbox(VmId self, long incarnation, SlotSender sender, DecisionListener listener) {
    this.self = self;
    this.incarnation = incarnation;
    this.sender = sender;
    this.listener = listener;
  }

  /** Sets the time for the stamps of the next messages. */
  void setTime(long nanos) {
    nowNanos = nanos;
  }

  void publish(SlotDecision decision) {
    listener.onDecision(decision);
  }

  void send(Session session, Function<OwnerStamp, SlotMessage.ToClient> message) {
    OwnerStamp stamp =
        new OwnerStamp(
            self, incarnation, session.leaseStartNanos, session.leaseLeftNanos(nowNanos), nowNanos);
    sender.send(session.router, message.apply(stamp));
  }

  /** Asks a router without a session for its state; the stamp carries an expired lease. */
  void resync(SlotScope scope, VmId router) {
    OwnerStamp stamp = new OwnerStamp(self, incarnation, Long.MIN_VALUE / 2, 0, nowNanos);
    sender.send(router, new SlotMessage.Resync(scope, stamp));
  }
}
