package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DecisionListener;
import io.jacinthquay.decision.slots.SlotDecision;
import io.jacinthquay.decision.slots.SlotId;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Judges a stream of decisions by the promises alone: it keeps sets of what waits and what runs,
 * and knows nothing of queues, counters or sessions.
 */
final class DecisionOracle implements DecisionListener {
  private final Function<ClassName, ClassPolicy> classes;
  private final Map<RequestId, SlotDecision.Queued> waiting = new LinkedHashMap<>();
  private final Map<SlotId, Work> running = new LinkedHashMap<>();
  private final Map<ClassName, Long> floorBase = new HashMap<>();

  /** Requests that waited while work of a lower tier took the slot they were first in line for. */
  private final Set<RequestId> passedOver = new HashSet<>();

  private final List<String> violations = new ArrayList<>();
  private int sheds;
  private int preemptions;
  private int floors;
  private long latestNanos;

  private record Work(
      RequestId request, int tier, boolean preemptible, boolean floor, boolean ordered) {}

  DecisionOracle(Function<ClassName, ClassPolicy> classes) {
    this.classes = classes;
  }

  List<String> violations() {
    return violations;
  }

  int sheds() {
    return sheds;
  }

  int preemptions() {
    return preemptions;
  }

  int floors() {
    return floors;
  }

  @Override
  public void onDecision(SlotDecision decision) {
    latestNanos = decision.atNanos();
    checkFloors();
    if (decision instanceof SlotDecision.Queued queued) {
      startWait(queued);
    } else if (decision instanceof SlotDecision.Granted granted) {
      granted(granted);
    } else if (decision instanceof SlotDecision.Used used) {
      boolean preemptible = used.preemptible();
      Work work = new Work(used.request(), tier(used.className()), preemptible, false, false);
      running.put(used.slot(), work);
      floorBase.computeIfPresent(used.className(), (name, base) -> latestNanos);
    } else if (decision instanceof SlotDecision.Shed shed) {
      shed(shed);
    } else if (decision instanceof SlotDecision.PreemptOrdered order) {
      preempt(order);
    } else if (decision instanceof SlotDecision.Released released) {
      running.remove(released.slot());
      if (released.completion().end() == Completion.End.PREEMPTED) {
        preemptions++;
      }
    } else if (decision instanceof SlotDecision.Withdrawn withdrawn) {
      stopWait(withdrawn.request());
    }
  }

  private void startWait(SlotDecision.Queued queued) {
    waiting.put(queued.request(), queued);
    floorBase.putIfAbsent(queued.className(), queued.atNanos());
  }

  private void stopWait(RequestId request) {
    SlotDecision.Queued queued = waiting.remove(request);
    passedOver.remove(request);
    if (queued == null) {
      return;
    }
    boolean last =
        waiting.values().stream().noneMatch(w -> w.className().equals(queued.className()));
    if (last) {
      floorBase.remove(queued.className());
    }
  }

  private void granted(SlotDecision.Granted granted) {
    int tier = tier(granted.className());
    boolean floor = granted.reason() == SlotDecision.Reason.FLOOR;
    floors += floor ? 1 : 0;
    for (SlotDecision.Queued other : waiting.values()) {
      if (tier(other.className()) < tier && !floor) {
        fault(granted.request() + " of tier " + tier + " was granted before " + other.request());
      }
    }
    if (floor) {
      checkFloorClaim(granted);
    }
    granted.passedOver().ifPresent(passedOver::add);
    stopWait(granted.request());
    floorBase.computeIfPresent(granted.className(), (name, base) -> latestNanos);
    running.put(
        granted.slot(), new Work(granted.request(), tier, granted.preemptible(), floor, false));
  }

  private void checkFloorClaim(SlotDecision.Granted granted) {
    long base = floorBase.getOrDefault(granted.className(), latestNanos);
    long interval = classes.apply(granted.className()).floorIntervalMs() * 1_000_000L;
    if (latestNanos - base < interval / 2) {
      fault(granted.className() + " got a floor long before it was due");
    }
    boolean higher =
        waiting.values().stream().anyMatch(w -> tier(w.className()) < tier(granted.className()));
    if (higher && granted.passedOver().isEmpty()) {
      fault(granted.request() + " passed over a higher tier without naming it");
    }
  }

  private void shed(SlotDecision.Shed shed) {
    sheds++;
    SlotDecision.Queued queued = waiting.get(shed.request());
    int tier = queued == null ? shed.tier().value() : tier(queued.className());
    if (queued != null && classes.apply(queued.className()).mustFinish()) {
      fault(shed.request() + " must finish and was shed");
    }
    if (passedOver.contains(shed.request())) {
      fault(shed.request() + " was passed over for a lower tier and then shed");
    }
    for (Work work : running.values()) {
      boolean lower = work.tier() > tier;
      if (lower && work.preemptible() && !work.floor()) {
        fault(shed.request() + " was shed while " + work.request() + " could be preempted");
      }
    }
    stopWait(shed.request());
  }

  private void preempt(SlotDecision.PreemptOrdered order) {
    Work victim = running.get(order.slot());
    SlotDecision.Queued beneficiary = waiting.get(order.beneficiary());
    if (victim == null || beneficiary == null || victim.tier() <= tier(beneficiary.className())) {
      fault(order.victim() + " was preempted for " + order.beneficiary());
      return;
    }
    if (!victim.preemptible() || victim.floor()) {
      fault(order.victim() + " may not be preempted");
    }
    for (Work work : running.values()) {
      boolean candidate = work.preemptible() && !work.floor() && !work.ordered();
      if (candidate && work.tier() > victim.tier()) {
        fault(order.victim() + " was preempted before " + work.request());
      }
    }
    running.put(order.slot(), new Work(victim.request(), victim.tier(), true, false, true));
  }

  private void checkFloors() {
    floorBase.forEach(
        (name, base) -> {
          long interval = classes.apply(name).floorIntervalMs() * 1_000_000L;
          if (latestNanos - base > interval) {
            fault(name + " waited longer than its floor interval");
          }
        });
    floorBase.replaceAll((name, base) -> overdue(name, base) ? latestNanos : base);
  }

  private boolean overdue(ClassName name, long base) {
    return latestNanos - base > classes.apply(name).floorIntervalMs() * 1_000_000L;
  }

  private int tier(ClassName name) {
    return classes.apply(name).tier().value();
  }

  private void fault(String text) {
    violations.add(latestNanos / 1_000_000 + " ms: " + text);
  }
}
