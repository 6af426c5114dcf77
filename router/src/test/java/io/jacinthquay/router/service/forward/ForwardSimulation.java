package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Simulates callers and upstreams of a forwarding core, without sockets. */
final class ForwardSimulation implements UpstreamClient {
  private static final int FIRST_PORT = 9_000;

  /** Number of timer rounds after which timers that reschedule themselves have ended too. */
  private static final int MAX_ROUNDS = 50;

  /** Longest delay of the core's periodic checks: above their interval, below any deadline. */
  private static final long PERIODIC_TIMER_MILLIS = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Longer than an upstream may be silent, shorter than a request may be queued. */
  private static final long SHORT_PAUSE_MILLIS = 700;

  /** Longer than a request may be queued, shorter than its time limit. */
  private static final long LONG_PAUSE_MILLIS = 20_000;

  private static final List<Integer> REFUSALS = List.of(503, 429, 408, 421);
  private static final List<Integer> PROOFS = List.of(503, 429, 421, 400);
  private static final List<DomainId> DOMAINS = List.of(new DomainId("a"), new DomainId("b"));

  /** Behavior of connections to an upstream. */
  private enum Link {
    /** A new connection is opened, which succeeds or fails later. */
    NEW,
    /** An idle connection is reused at once. */
    IDLE,
    /** The connection is refused at once. */
    REFUSED,
    /** An idle connection is reused and breaks at once. */
    STALE;
  }

  private final ManualEventThread thread = new ManualEventThread();
  private final ForwardOracle oracle = new ForwardOracle();
  private final List<Integer> slots;
  private final List<ScriptedCall> calls = new ArrayList<>();
  private final Map<ScriptedCall, Integer> events = new HashMap<>();
  private final Map<Integer, Link> links = new HashMap<>();
  private final Map<Integer, Integer> restarts = new HashMap<>();
  private final ForwardCore core;
  private final ForwardIntake intake;
  private long pausedNanos;
  private long version;

  /**
   * Returns a simulation of one router.
   *
   * @param slots concurrent requests that each upstream serves
   * @param initialized whether the router knows a document and its upstreams at the start
   */
  ForwardSimulation(List<Integer> slots, boolean initialized) {
    this(slots, initialized, false);
  }

  /**
   * Returns a simulation of one router.
   *
   * @param learnsRates whether the router learns what upstreams bear
   */
  ForwardSimulation(List<Integer> slots, boolean initialized, boolean learnsRates) {
    this.slots = slots;
    ForwardOptions options =
        new ForwardOptions(
            DOMAINS.get(0),
            Optional.of(new ForwardOptions.RetryLimits(1_000, 0, Duration.ofSeconds(10))),
            learnsRates ? Optional.empty() : Optional.of(new ForwardOptions.ColdLimits(1.5, 5)),
            Optional.of(Duration.ofSeconds(5)),
            Set.of(LearnedPart.values()),
            Duration.ofSeconds(2));
    core =
        new ForwardCore(
            options, new MinimalForwardProtocol(), this, () -> System.nanoTime() + pausedNanos);
    core.thread(thread);
    intake = new ForwardIntake(core);
    if (initialized) {
      document(0);
      upstreams(0);
    }
  }

  ForwardOracle oracle() {
    return oracle;
  }

  boolean isReady() {
    return core.isReady();
  }

  @Override
  public UpstreamCall send(UpstreamRequest request, UpstreamListener listener) {
    ScriptedCall call = new ScriptedCall(request, listener);
    calls.add(call);
    oracle.addCall(call);
    switch (links.getOrDefault(request.address().getPort(), Link.NEW)) {
      case IDLE -> call.open();
      case REFUSED -> call.fail(UpstreamFailure.UNREACHABLE);
      case STALE -> {
        call.open();
        call.fail(UpstreamFailure.BROKE);
      }
      default -> {}
    }
    return call;
  }

  /** Plays one event, then checks the invariants. */
  void play(ForwardStep step) {
    oracle.note(step);
    int detail = step.detail();
    switch (step.kind()) {
      case ARRIVE -> arrive(detail);
      case TIMER ->
          thread.fireTimer(step.pick(), detail % 4 == 0 ? Long.MAX_VALUE : PERIODIC_TIMER_MILLIS);
      case TASK -> thread.runTask();
      case UPSTREAMS -> upstreams(detail);
      case DOCUMENT -> document(detail);
      case LOADS -> loads(detail);
      case CLOSED_DOMAINS -> closedDomains(detail);
      case LINK -> link(step.pick(), detail);
      case LEAVE -> oracle.caller(step.pick()).ifPresent(RecordingCaller::leave);
      case BREAK_AT_WRITE -> oracle.caller(step.pick()).ifPresent(RecordingCaller::breakAtWrite);
      case PAUSE_PROCESS -> pauseProcess(detail);
      default -> upstreamEvent(step);
    }
    oracle.check();
  }

  private void upstreamEvent(ForwardStep step) {
    switch (step.kind()) {
      case OPEN -> pick(ScriptedCall.State.CONNECTING, step, ScriptedCall::open);
      case UNREACHABLE ->
          pick(ScriptedCall.State.CONNECTING, step, c -> c.fail(UpstreamFailure.UNREACHABLE));
      case SUCCESS -> head(step, new ResponseHead(200, List.of()));
      case FAILURE -> head(step, new ResponseHead(500, List.of()));
      case UNPROVEN -> head(step, new ResponseHead(status(REFUSALS, step), List.of()));
      case PROOF -> head(step, marked(status(PROOFS, step), MinimalForwardProtocol.PROOF));
      case SPOILT -> head(step, marked(200, MinimalForwardProtocol.SPOILT));
      case DATA -> pick(ScriptedCall.State.ANSWERING, step, call -> data(call, step.detail()));
      case END -> pick(ScriptedCall.State.ANSWERING, step, ScriptedCall::end);
      case MISMATCH ->
          pick(ScriptedCall.State.SENT, step, call -> call.fail(UpstreamFailure.MISMATCH));
      case NO_MEMORY ->
          pick(ForwardSimulation::mayBreak, step, call -> call.fail(UpstreamFailure.NO_MEMORY));
      default -> pick(ForwardSimulation::mayBreak, step, call -> call.fail(UpstreamFailure.BROKE));
    }
  }

  private static int status(List<Integer> statuses, ForwardStep step) {
    return statuses.get(step.detail() % statuses.size());
  }

  private static ResponseHead marked(int status, String header) {
    return new ResponseHead(status, List.of(new Header(header, "1")));
  }

  private static boolean mayBreak(ScriptedCall call) {
    return call.state() == ScriptedCall.State.SENT || call.state() == ScriptedCall.State.ANSWERING;
  }

  private void head(ForwardStep step, ResponseHead head) {
    pick(ScriptedCall.State.SENT, step, call -> call.head(head));
  }

  private void pick(ScriptedCall.State state, ForwardStep step, Consumer<ScriptedCall> event) {
    pick(call -> call.state() == state, step, event);
  }

  private void pick(
      Predicate<ScriptedCall> filter, ForwardStep step, Consumer<ScriptedCall> event) {
    List<ScriptedCall> matching = calls.stream().filter(filter).toList();
    if (!matching.isEmpty()) {
      event.accept(matching.get(step.pick() % matching.size()));
    }
  }

  private void arrive(int detail) {
    RouteRule route = ForwardRoutes.ALL.get(detail % ForwardRoutes.ALL.size());
    String id = "r" + oracle.requests() + "-" + route.name();
    RecordingCaller caller = new RecordingCaller(thread);
    oracle.addRequest(id, route, caller);
    RequestId requestId = new RequestId(id);
    intake
        .admit(requestId, MinimalForwardProtocol.head(id, route.pathPrefix()))
        .peek(admitted -> admitted.run(new byte[0], caller))
        .peekLeft(
            failure ->
                intake.refuse(
                    requestId,
                    MinimalForwardProtocol.head(id, route.pathPrefix()),
                    failure,
                    caller));
  }

  /** Sends stream data: the next event, one after a gap, a part of one, or one without an id. */
  private void data(ScriptedCall call, int detail) {
    int next = events.merge(call, 1, Integer::sum);
    switch (detail % 6) {
      case 0 -> call.data("id: " + (next + 5) + "\ndata: x\n\n");
      case 1 -> call.data("id: ");
      case 2 -> call.data("data: x\n\n");
      default -> call.data("id: " + next + "\ndata: x\n\n");
    }
  }

  /** Lists upstreams; two bits each: listed, draining, gone, or restarted at the same address. */
  private void upstreams(int detail) {
    List<UpstreamListing> listings = new ArrayList<>();
    for (int i = 0; i < slots.size(); i++) {
      int status = detail >> (2 * i) & 3;
      if (status == 3) {
        restarts.merge(i, 1, Integer::sum);
      }
      if (status != 2) {
        listings.add(
            new UpstreamListing(
                upstream(i),
                ForwardRoutes.POOL,
                DOMAINS.get(i % DOMAINS.size()),
                InetSocketAddress.createUnresolved("h", FIRST_PORT + i),
                status == 1,
                false,
                slots.get(i),
                0,
                SoftwareVersion.UNSPECIFIED));
      }
    }
    core.updateListings(listings);
  }

  private UpstreamId upstream(int index) {
    return new UpstreamId("u" + index + "-" + restarts.getOrDefault(index, 0));
  }

  private void document(int detail) {
    version++;
    core.apply(ForwardRoutes.table(version, detail));
  }

  /** Sets the load of other routers; one bit per upstream: whether they use all of its slots. */
  private void loads(int detail) {
    Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();
    for (int i = 0; i < slots.size(); i++) {
      if ((detail >> i & 1) == 1) {
        loads.put(upstream(i), new UpstreamLoad(slots.get(i), 0, 0, 0));
      }
    }
    core.updatePeers(2, loads, RouterSignals.NONE);
  }

  private void closedDomains(int detail) {
    Set<DomainId> closed = new HashSet<>();
    for (int i = 0; i < DOMAINS.size(); i++) {
      if ((detail >> i & 1) == 1) {
        closed.add(DOMAINS.get(i));
      }
    }
    core.updateClosedDomains(closed);
  }

  private void link(int pick, int detail) {
    links.put(FIRST_PORT + pick % slots.size(), Link.values()[detail % Link.values().length]);
  }

  private void pauseProcess(int detail) {
    long millis = detail % 4 == 0 ? LONG_PAUSE_MILLIS : SHORT_PAUSE_MILLIS;
    pausedNanos += millis * NANOS_PER_MILLI;
  }

  /** Fires every timer, then ends all pending connections and answers. */
  void finish() {
    oracle.note("every timer fires");
    thread.runAll(MAX_ROUNDS);
    oracle.check();
    oracle.checkAfterTimers();
    oracle.note("connections open, answers break off");
    for (ScriptedCall call : List.copyOf(calls)) {
      call.open();
    }
    oracle.check();
    for (ScriptedCall call : List.copyOf(calls)) {
      call.fail(UpstreamFailure.BROKE);
    }
    thread.runAll(MAX_ROUNDS);
    oracle.check();
    oracle.checkAtEnd();
  }
}
