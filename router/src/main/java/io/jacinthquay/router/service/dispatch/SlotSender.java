package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.VmId;

/** Sends messages about slots to other routers. */
@FunctionalInterface
public interface SlotSender {
  /** Takes a message for delivery and returns at once; a message may be lost. */
  void send(VmId to, SlotMessage message);
}
