package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.VmId;

/** Sends slot messages to other routers. */
@FunctionalInterface
public interface SlotMessageSender {
  /** Queues a message without blocking; delivery is not guaranteed. */
  void send(VmId to, SlotMessage message);
}
