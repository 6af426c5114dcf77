package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;

/** Sends the messages of an owner to routers. */
@FunctionalInterface
public interface SlotSender {
  /** Sends a message; it may be lost. */
  void send(VmId to, SlotMessage.ToClient message);
}
