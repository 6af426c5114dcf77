package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.routing.RouteRule;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Checks invariants of a forwarding core by what its callers and upstreams observed. */
final class ForwardOracle {
  /** Statuses that state that the request has not run and never will. */
  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  /** Guarantees to callers and upstreams. */
  enum Invariant {
    /** A refused request reached no upstream except those that proved that they did not run it. */
    REFUSED_MEANS_NOT_RUN,
    /** A request reaches at most as many upstreams that may run it as its route allows attempts. */
    RUNS_AT_MOST_AS_OFTEN_AS_ALLOWED,
    /** A caller gets at most one answer, and nothing after it disconnected. */
    AT_MOST_ONE_ANSWER,
    /** After a request has ended, none of its sends waits for a connection or an answer. */
    NO_PENDING_SEND_AFTER_END,
    /** After all timers have fired, no answer without a use is still being read. */
    NO_UNUSED_ANSWER_STILL_READ,
    /** After all timers have fired, every request has ended. */
    EVERY_REQUEST_ENDS
  }

  private static final class Request {
    private final String id;
    private final RouteRule route;
    private final RecordingCaller caller;
    private final List<ScriptedCall> calls = new ArrayList<>();

    Request(String id, RouteRule route, RecordingCaller caller) {
      this.id = id;
      this.route = route;
      this.caller = caller;
    }

    private long possibleRuns() {
      return calls.stream().filter(ScriptedCall::mayHaveRunThere).count();
    }

    private boolean isRefused() {
      return caller.status().isPresent() && REFUSALS.contains(caller.status().getAsInt());
    }

    private boolean has(ScriptedCall.State state) {
      return calls.stream().anyMatch(call -> call.state() == state);
    }

    @Override
    public String toString() {
      return id + ": " + caller + " " + calls;
    }
  }

  private final Map<String, Request> requests = new LinkedHashMap<>();
  private final Map<Invariant, String> violations = new EnumMap<>(Invariant.class);
  private final List<String> trace = new ArrayList<>();
  private String lastState = "";

  void note(Object event) {
    trace.add(event.toString());
  }

  void addRequest(String id, RouteRule route, RecordingCaller caller) {
    requests.put(id, new Request(id, route, caller));
  }

  void addCall(ScriptedCall call) {
    requests.get(call.requestId()).calls.add(call);
  }

  /** Returns the number of requests that have arrived. */
  int requests() {
    return requests.size();
  }

  /** Returns one of the callers whose request has not ended. */
  Optional<RecordingCaller> caller(int pick) {
    List<RecordingCaller> waiting =
        requests.values().stream().map(r -> r.caller).filter(c -> !c.isOver()).toList();
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.get(pick % waiting.size()));
  }

  /** Checks every request after an event. */
  void check() {
    for (Request request : requests.values()) {
      request.caller.endBreak();
      int allowed = request.route.isRetryable() ? request.route.maxAttempts() : 1;
      check(request.possibleRuns() <= allowed, Invariant.RUNS_AT_MOST_AS_OFTEN_AS_ALLOWED, request);
      check(request.caller.violations().isEmpty(), Invariant.AT_MOST_ONE_ANSWER, request);
      boolean undecided =
          request.has(ScriptedCall.State.CONNECTING) || request.has(ScriptedCall.State.SENT);
      check(!request.caller.isOver() || !undecided, Invariant.NO_PENDING_SEND_AFTER_END, request);
      check(
          !request.isRefused() || undecided || request.possibleRuns() == 0,
          Invariant.REFUSED_MEANS_NOT_RUN,
          request);
    }
    String state = "   " + requests.values();
    if (!state.equals(lastState)) {
      lastState = state;
      trace.add(state);
    }
  }

  /** Checks what must hold after every timer has fired. */
  void checkAfterTimers() {
    for (Request request : requests.values()) {
      check(request.caller.isOver(), Invariant.EVERY_REQUEST_ENDS, request);
      check(
          !request.has(ScriptedCall.State.ANSWERING),
          Invariant.NO_UNUSED_ANSWER_STILL_READ,
          request);
    }
  }

  /** Checks what must hold when no more events can follow. */
  void checkAtEnd() {
    for (Request request : requests.values()) {
      check(
          !request.isRefused() || request.possibleRuns() == 0,
          Invariant.REFUSED_MEANS_NOT_RUN,
          request);
    }
  }

  private void check(boolean holds, Invariant invariant, Request request) {
    if (!holds && !violations.containsKey(invariant)) {
      List<String> callerViolations = request.caller.violations();
      violations.put(
          invariant, request + (callerViolations.isEmpty() ? "" : " " + callerViolations));
    }
  }

  /** Throws an error with the event trace if an invariant was violated. */
  void assertHolds(Invariant invariant) {
    if (violations.containsKey(invariant)) {
      throw new AssertionError(
          invariant + ": " + violations.get(invariant) + "\n" + String.join("\n", trace));
    }
  }
}
