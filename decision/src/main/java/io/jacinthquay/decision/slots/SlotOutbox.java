package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.function.Function;

/** Stamps and sends the messages of an owner and tells its decisions. */
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

  /** Sets the time of what is sent next. */
  void now(long nanos) {
    nowNanos = nanos;
  }

  void decided(SlotDecision decision) {
    listener.decided(decision);
  }

  void send(Session session, Function<OwnerStamp, SlotMessage.ToClient> message) {
    OwnerStamp stamp =
        new OwnerStamp(
            self, incarnation, session.basisNanos, session.leaseLeftNanos(nowNanos), nowNanos);
    sender.send(session.router, message.apply(stamp));
  }

  /** Asks a router without a session for its state; the stamp gives it no lease. */
  void resync(SlotScope scope, VmId router) {
    OwnerStamp stamp = new OwnerStamp(self, incarnation, Long.MIN_VALUE / 2, 0, nowNanos);
    sender.send(router, new SlotMessage.Resync(scope, stamp));
  }
}
