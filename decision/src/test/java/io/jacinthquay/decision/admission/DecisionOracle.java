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
 * Checks a stream of decisions against the guarantees of admission. It only tracks which requests
 * wait and run, independently of queues, counters and sessions.
 */
final class DecisionOracle implements DecisionListener {
  private final Function<ClassName, ClassPolicy> classes;
  private final Map<RequestId, SlotDecision.Queued> waiting = new LinkedHashMap<>();
  private final Map<SlotId, Work> running = new LinkedHashMap<>();
  private final Map<ClassName, Long> floorStart = new HashMap<>();

  /** Waiting requests whose slot went to a request of a lower tier. */
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
      floorStart.computeIfPresent(used.className(), (name, start) -> latestNanos);
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
    floorStart.putIfAbsent(queued.className(), queued.atNanos());
  }

  private void stopWait(RequestId request) {
    SlotDecision.Queued queued = waiting.remove(request);
    passedOver.remove(request);
    if (queued == null) {
      return;
    }
    boolean last =
        waiting.values().stream()
            .noneMatch(waiter -> waiter.className().equals(queued.className()));
    if (last) {
      floorStart.remove(queued.className());
    }
  }

  private void granted(SlotDecision.Granted granted) {
    int tier = tier(granted.className());
    boolean floor = granted.reason() == SlotDecision.Reason.FLOOR;
    floors += floor ? 1 : 0;
    for (SlotDecision.Queued other : waiting.values()) {
      if (tier(other.className()) < tier && !floor) {
        addViolation(
            granted.request() + " of tier " + tier + " was granted before " + other.request());
      }
    }
    if (floor) {
      checkFloorClaim(granted);
    }
    granted.passedOver().ifPresent(passedOver::add);
    stopWait(granted.request());
    floorStart.computeIfPresent(granted.className(), (name, start) -> latestNanos);
    running.put(
        granted.slot(), new Work(granted.request(), tier, granted.preemptible(), floor, false));
  }

  private void checkFloorClaim(SlotDecision.Granted granted) {
    long start = floorStart.getOrDefault(granted.className(), latestNanos);
    long interval = classes.apply(granted.className()).floorIntervalMs() * 1_000_000L;
    if (latestNanos - start < interval / 2) {
      addViolation(granted.className() + " got a floor long before it was due");
    }
    boolean higher =
        waiting.values().stream()
            .anyMatch(waiter -> tier(waiter.className()) < tier(granted.className()));
    if (higher && granted.passedOver().isEmpty()) {
      addViolation(granted.request() + " passed over a higher tier without naming it");
    }
  }

  private void shed(SlotDecision.Shed shed) {
    sheds++;
    SlotDecision.Queued queued = waiting.get(shed.request());
    int tier = queued == null ? shed.tier().value() : tier(queued.className());
    if (queued != null && classes.apply(queued.className()).mustFinish()) {
      addViolation(shed.request() + " must finish and was shed");
    }
    if (passedOver.contains(shed.request())) {
      addViolation(shed.request() + " was passed over for a lower tier and then shed");
    }
    for (Work work : running.values()) {
      boolean lower = work.tier() > tier;
      if (lower && work.preemptible() && !work.floor()) {
        addViolation(shed.request() + " was shed while " + work.request() + " could be preempted");
      }
    }
    stopWait(shed.request());
  }

  private void preempt(SlotDecision.PreemptOrdered order) {
    Work victim = running.get(order.slot());
    SlotDecision.Queued beneficiary = waiting.get(order.beneficiary());
    if (victim == null || beneficiary == null || victim.tier() <= tier(beneficiary.className())) {
      addViolation(order.victim() + " was preempted for " + order.beneficiary());
      return;
    }
    if (!victim.preemptible() || victim.floor()) {
      addViolation(order.victim() + " may not be preempted");
    }
    for (Work work : running.values()) {
      boolean candidate = work.preemptible() && !work.floor() && !work.ordered();
      if (candidate && work.tier() > victim.tier()) {
        addViolation(order.victim() + " was preempted before " + work.request());
      }
    }
    running.put(order.slot(), new Work(victim.request(), victim.tier(), true, false, true));
  }

  private void checkFloors() {
    floorStart.forEach(
        (name, start) -> {
          long interval = classes.apply(name).floorIntervalMs() * 1_000_000L;
          if (latestNanos - start > interval) {
            addViolation(name + " waited longer than its floor interval");
          }
        });
    floorStart.replaceAll((name, start) -> overdue(name, start) ? latestNanos : start);
  }

  private boolean overdue(ClassName name, long start) {
    return latestNanos - start > classes.apply(name).floorIntervalMs() * 1_000_000L;
  }

  private int tier(ClassName name) {
    return classes.apply(name).tier().value();
  }

  private void addViolation(String text) {
    violations.add(latestNanos / 1_000_000 + " ms: " + text);
  }
}
