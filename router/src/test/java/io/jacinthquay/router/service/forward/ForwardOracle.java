package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.routing.RouteRule;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Judges a forwarding core by what its callers and upstreams saw. */
final class ForwardOracle {
  /** Statuses that promise that the request has not run and never will. */
  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  /** What callers and upstreams may rely on. */
  enum Promise {
    /** A refused request reached no upstream, but for such as proved that they did not run it. */
    REFUSED_MEANS_NOT_RUN,
    /** A request reaches no more upstreams without a proof than its route lets it run at. */
    RUNS_NO_MORE_THAN_ALLOWED,
    /** A caller gets at most one answer, and nothing once it has left. */
    ONE_ANSWER,
    /** Once a request is over, none of its sends waits for a connection or an answer. */
    OVER_MEANS_CANCELLED,
    /** Once all timers have fired, no answer that nobody waits for is still being read. */
    NO_ANSWER_LEFT_OPEN,
    /** Once all timers have fired, every request is over. */
    ENDS
  }

  private static final class Request {
    private final String id;
    private final RouteRule route;
    private final RecordedCaller caller;
    private final List<ScriptedCall> calls = new ArrayList<>();

    Request(String id, RouteRule route, RecordedCaller caller) {
      this.id = id;
      this.route = route;
      this.caller = caller;
    }

    private long reached() {
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
  private final Map<Promise, String> broken = new EnumMap<>(Promise.class);
  private final List<String> story = new ArrayList<>();
  private String lastSeen = "";

  void note(Object event) {
    story.add(event.toString());
  }

  void arrived(String id, RouteRule route, RecordedCaller caller) {
    requests.put(id, new Request(id, route, caller));
  }

  void sent(ScriptedCall call) {
    requests.get(call.requestId()).calls.add(call);
  }

  /** Returns how many requests have arrived. */
  int requests() {
    return requests.size();
  }

  /** Returns one of the callers that still wait. */
  Optional<RecordedCaller> caller(int pick) {
    List<RecordedCaller> waiting =
        requests.values().stream().map(r -> r.caller).filter(c -> !c.isOver()).toList();
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.get(pick % waiting.size()));
  }

  /** Looks at every request after an event. */
  void look() {
    for (Request request : requests.values()) {
      request.caller.settle();
      int allowed = request.route.isRepeatable() ? request.route.maxAttempts() : 1;
      check(request.reached() <= allowed, Promise.RUNS_NO_MORE_THAN_ALLOWED, request);
      check(request.caller.faults().isEmpty(), Promise.ONE_ANSWER, request);
      boolean undecided =
          request.has(ScriptedCall.State.CONNECTING) || request.has(ScriptedCall.State.SENT);
      check(!request.caller.isOver() || !undecided, Promise.OVER_MEANS_CANCELLED, request);
      check(
          !request.isRefused() || undecided || request.reached() == 0,
          Promise.REFUSED_MEANS_NOT_RUN,
          request);
    }
    String seen = "   " + requests.values();
    if (!seen.equals(lastSeen)) {
      lastSeen = seen;
      story.add(seen);
    }
  }

  /** Every timer has fired. */
  void timersFired() {
    for (Request request : requests.values()) {
      check(request.caller.isOver(), Promise.ENDS, request);
      check(!request.has(ScriptedCall.State.ANSWERING), Promise.NO_ANSWER_LEFT_OPEN, request);
    }
  }

  /** Nothing more can happen. */
  void over() {
    for (Request request : requests.values()) {
      check(!request.isRefused() || request.reached() == 0, Promise.REFUSED_MEANS_NOT_RUN, request);
    }
  }

  private void check(boolean kept, Promise promise, Request request) {
    if (!kept && !broken.containsKey(promise)) {
      List<String> faults = request.caller.faults();
      broken.put(promise, request + (faults.isEmpty() ? "" : " " + faults));
    }
  }

  /** Throws an error that tells what happened if a promise was broken. */
  void assertKept(Promise promise) {
    if (broken.containsKey(promise)) {
      throw new AssertionError(
          promise + ": " + broken.get(promise) + "\n" + String.join("\n", story));
    }
  }
}
