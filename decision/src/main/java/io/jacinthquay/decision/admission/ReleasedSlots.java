package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.SlotId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Remembers released slots for as long as a delayed grant of them could be valid. */
final class ReleasedSlots {
  private final long retentionNanos;
  private final Map<SlotId, Completion> completions = new HashMap<>();
  private final ArrayDeque<Released> order = new ArrayDeque<>();

  private record Released(SlotId slot, long untilNanos) {}

  ReleasedSlots(long retentionNanos) {
    this.retentionNanos = retentionNanos;
  }

  void add(long nowNanos, SlotId slot, Completion completion) {
    completions.put(slot, completion);
    order.add(new Released(slot, nowNanos + retentionNanos));
  }

  Optional<Completion> find(SlotId slot) {
    return Optional.ofNullable(completions.get(slot));
  }

  /** Returns the completion of a released slot, or records that it is released now. */
  Completion findOrAdd(long nowNanos, SlotId slot, Completion completion) {
    Completion recorded = completions.get(slot);
    if (recorded != null) {
      return recorded;
    }
    add(nowNanos, slot, completion);
    return completion;
  }

  void removeExpired(long nowNanos) {
    while (!order.isEmpty() && order.peek().untilNanos() <= nowNanos) {
      completions.remove(order.poll().slot());
    }
  }
}
