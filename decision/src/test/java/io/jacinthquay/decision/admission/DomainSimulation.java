package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.slots.ClassPolicies;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DecisionListener;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongConsumer;

/**
 * A simulation of the routers of one failure domain and their fake engines in virtual time.
 * Messages between routers are delayed and may be lost, duplicated or cut off by a partition.
 */
final class DomainSimulation {
  static final long MS = 1_000_000L;
  static final DomainId DOMAIN = new DomainId("a");
  static final SlotScope SCOPE = new SlotScope(new PoolName("engines"), DOMAIN);
  private static final long TICK_NANOS = 5 * MS;
  private static final long REPORT_INTERVAL_NANOS = 250 * MS;
  private static final long REPORT_DELAY_NANOS = 400 * MS;

  final Random random;
  final Map<VmId, Admission> routers = new LinkedHashMap<>();
  final Map<UpstreamId, FakeEngine> engines = new LinkedHashMap<>();
  final Map<RequestId, Call> calls = new LinkedHashMap<>();
  final Map<VmId, Integer> partition = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Integer> messages = new HashMap<>();
  double loss;
  double duplication;
  long nowNanos;
  private long sequence;

  private record Event(long at, long sequence, LongConsumer run) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** A request and its outcome. */
  static final class Call {
    final AdmissionRequest request;
    final VmId router;
    final long submittedNanos;
    long tokens;
    int attempt;
    boolean running;
    boolean refused;
    boolean finished;
    boolean lost;
    long firstTokenNanos = -1;

    Call(AdmissionRequest request, VmId router, long submittedNanos, long tokens) {
      this.request = request;
      this.router = router;
      this.submittedNanos = submittedNanos;
      this.tokens = tokens;
    }

    boolean onTarget() {
      return firstTokenNanos >= 0 && firstTokenNanos <= request.deadlineNanos();
    }
  }

  DomainSimulation(
      long seed,
      int routerCount,
      ClassPolicies classes,
      Function<VmId, DecisionListener> listeners) {
    this.random = new Random(seed);
    for (int i = 0; i < routerCount; i++) {
      VmId vm = new VmId("entry-" + i);
      routers.put(vm, Admission.builder(vm, 1, classes).listener(listeners.apply(vm)).build());
      partition.put(vm, 0);
    }
  }

  DomainSimulation engines(int count, int initialLimit, int fullLimit) {
    for (int i = 0; i < count; i++) {
      FakeEngine engine = new FakeEngine("engine-" + engines.size(), initialLimit, fullLimit);
      engines.put(engine.id, engine);
    }
    return this;
  }

  /** Adds engines whose full limit is known only from their load reports. */
  DomainSimulation enginesReportingLimit(int count, int initialLimit, int fullLimit) {
    for (int i = 0; i < count; i++) {
      FakeEngine engine = new FakeEngine("engine-" + engines.size(), initialLimit, fullLimit, true);
      engines.put(engine.id, engine);
    }
    return this;
  }

  DomainSimulation start() {
    List<UpstreamSpec> specs = engines.values().stream().map(FakeEngine::spec).toList();
    routers.forEach((vm, admission) -> act(vm, admission.setUpstreams(nowNanos, SCOPE, specs)));
    setViews(new ArrayList<>(routers.keySet()), new ArrayList<>(routers.keySet()));
    for (VmId vm : routers.keySet()) {
      at(random.nextInt((int) TICK_NANOS), now -> tick(vm));
    }
    engines.values().forEach(engine -> at(REPORT_INTERVAL_NANOS, now -> report(engine)));
    return this;
  }

  void setViews(List<VmId> voters, List<VmId> live) {
    for (VmId vm : routers.keySet()) {
      setView(vm, voters, live);
    }
  }

  void setView(VmId vm, List<VmId> voters, List<VmId> live) {
    Admission admission = routers.get(vm);
    if (admission != null) {
      act(vm, admission.setView(nowNanos, DOMAIN, new DomainView(voters, live)));
    }
  }

  /** Stops a router without notice; its connections close 200 ms later. */
  void crash(VmId vm) {
    routers.remove(vm);
    for (Call call : calls.values()) {
      if (call.router.equals(vm) && !call.finished && !call.refused) {
        call.lost = true;
        at(
            200 * MS,
            now ->
                engines.values().forEach(engine -> engine.end(now, call.request.request(), false)));
      }
    }
  }

  void at(long delayNanos, LongConsumer run) {
    events.add(new Event(nowNanos + delayNanos, sequence++, run));
  }

  void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().at() <= untilNanos) {
      Event event = events.poll();
      nowNanos = event.at();
      event.run().accept(nowNanos);
    }
    nowNanos = untilNanos;
  }

  void submit(VmId vm, AdmissionRequest request, long tokens) {
    Admission admission = routers.get(vm);
    if (admission == null) {
      return;
    }
    calls.put(request.request(), new Call(request, vm, nowNanos, tokens));
    act(vm, admission.submit(nowNanos, request));
  }

  int sent(Class<? extends SlotMessage> type) {
    return messages.getOrDefault(type.getSimpleName(), 0);
  }

  Map<String, Integer> sentByType() {
    return messages;
  }

  private void tick(VmId vm) {
    Admission admission = routers.get(vm);
    if (admission != null) {
      act(vm, admission.tick(nowNanos));
      at(TICK_NANOS, now -> tick(vm));
    }
  }

  private void report(FakeEngine engine) {
    var report = engine.report(nowNanos);
    at(
        REPORT_DELAY_NANOS,
        now ->
            new ArrayList<>(routers.keySet())
                .forEach(vm -> act(vm, routers.get(vm).reportLoad(now, SCOPE, report))));
    at(REPORT_INTERVAL_NANOS, now -> report(engine));
  }

  private void act(VmId vm, List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Send send) {
        messages.merge(send.message().getClass().getSimpleName(), 1, Integer::sum);
        transmit(vm, send);
      } else if (action instanceof AdmissionAction.Dispatch dispatch) {
        dispatch(vm, dispatch);
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        Call call = calls.get(refuse.request());
        if (call.refused || call.finished || call.running) {
          throw new AssertionError("second answer to " + refuse.request());
        }
        call.refused = true;
      } else if (action instanceof AdmissionAction.Preempt preempt) {
        at(2 * MS, now -> stop(vm, calls.get(preempt.request())));
      }
    }
  }

  private void transmit(VmId from, AdmissionAction.Send send) {
    int copies = random.nextDouble() < duplication ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      boolean lost =
          random.nextDouble() < loss || !partition.get(from).equals(partition.get(send.to()));
      if (!lost) {
        at(100_000 + random.nextInt(900_000), now -> deliver(send));
      }
    }
  }

  private void deliver(AdmissionAction.Send send) {
    Admission admission = routers.get(send.to());
    if (admission != null) {
      act(send.to(), admission.receive(nowNanos, send.message()));
    }
  }

  private void dispatch(VmId vm, AdmissionAction.Dispatch dispatch) {
    Call call = calls.get(dispatch.request());
    if (call.running || call.finished || call.refused) {
      throw new AssertionError("second dispatch of " + dispatch.request());
    }
    call.running = true;
    call.attempt++;
    int attempt = call.attempt;
    FakeEngine engine = engines.get(dispatch.upstream());
    at(MS / 2, now -> begin(vm, call, engine, attempt));
  }

  private void begin(VmId vm, Call call, FakeEngine engine, int attempt) {
    if (call.lost || call.attempt != attempt || !call.running) {
      return;
    }
    engine.start(nowNanos, call.request.request());
    if (call.firstTokenNanos < 0) {
      call.firstTokenNanos = nowNanos + call.request.firstTokenNanos() - MS / 2;
    }
    long serviceNanos = call.request.firstTokenNanos() + call.tokens * 5 * MS;
    at(serviceNanos, now -> end(vm, call, engine, attempt));
  }

  private void end(VmId vm, Call call, FakeEngine engine, int attempt) {
    if (call.lost || call.attempt != attempt || !call.running) {
      return;
    }
    engine.end(nowNanos, call.request.request(), true);
    call.running = false;
    call.finished = true;
    Completion done = Completion.done(call.tokens, call.request.firstTokenNanos(), call.onTarget());
    act(vm, routers.get(vm).finish(nowNanos, call.request.request(), done));
  }

  private void stop(VmId vm, Call call) {
    if (call.lost || !call.running) {
      return;
    }
    engines.values().forEach(engine -> engine.end(nowNanos, call.request.request(), false));
    call.running = false;
    call.attempt++;
    act(vm, routers.get(vm).reportPreempted(nowNanos, call.request.request(), 1, call.tokens));
  }

  int breaches() {
    return engines.values().stream().mapToInt(FakeEngine::breaches).sum();
  }

  Set<RequestId> unanswered() {
    Set<RequestId> unanswered = new HashSet<>();
    calls.forEach(
        (id, call) -> {
          if (!call.lost && !call.finished && !call.refused) {
            unanswered.add(id);
          }
        });
    return unanswered;
  }
}
