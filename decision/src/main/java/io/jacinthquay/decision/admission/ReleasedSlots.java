package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.SlotId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Remembers slots that were given back, for as long as a late grant of them could be valid. */
final class ReleasedSlots {
  private final long keepNanos;
  private final Map<SlotId, Completion> completions = new HashMap<>();
  private final ArrayDeque<Released> order = new ArrayDeque<>();

  private record Released(SlotId slot, long untilNanos) {}

  ReleasedSlots(long keepNanos) {
    this.keepNanos = keepNanos;
  }

  void add(long nowNanos, SlotId slot, Completion completion) {
    completions.put(slot, completion);
    order.add(new Released(slot, nowNanos + keepNanos));
  }

  Optional<Completion> find(SlotId slot) {
    return Optional.ofNullable(completions.get(slot));
  }

  /** Returns how a slot was given back, or notes that it is given back now. */
  Completion findOrAdd(long nowNanos, SlotId slot, Completion otherwise) {
    Completion known = completions.get(slot);
    if (known != null) {
      return known;
    }
    add(nowNanos, slot, otherwise);
    return otherwise;
  }

  void forget(long nowNanos) {
    while (!order.isEmpty() && order.peek().untilNanos() <= nowNanos) {
      completions.remove(order.poll().slot());
    }
  }
}
