package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.stream.Collectors;

/** What callers, upstreams, operators and the platform saw; any thread may add to it. */
final class History {
  private final Collection<Call> calls = new ConcurrentLinkedQueue<>();
  private final Collection<Run> runs = new ConcurrentLinkedQueue<>();
  private final Collection<Span> spans = new ConcurrentLinkedQueue<>();
  private final Collection<Read> reads = new ConcurrentLinkedQueue<>();
  private final Collection<Proposed> proposed = new ConcurrentLinkedQueue<>();
  private final Collection<Acknowledged> acknowledged = new ConcurrentLinkedQueue<>();
  private final Collection<Evacuation> evacuations = new ConcurrentLinkedQueue<>();
  private final Collection<Departure> departures = new ConcurrentLinkedQueue<>();
  private final Collection<Duty> duties = new ConcurrentLinkedQueue<>();
  private final Collection<String> strays = new ConcurrentLinkedQueue<>();

  /**
   * A version of the document that an operator read.
   *
   * @param askedNanos when it was asked for
   */
  record Read(long askedNanos, long version) {}

  /**
   * A version of the document that may be in force from now on.
   *
   * @param atNanos when it was first sent
   */
  record Proposed(long atNanos, long version) {}

  /**
   * A version of the document that was acknowledged.
   *
   * @param atNanos when the operator heard it
   */
  record Acknowledged(long atNanos, long version) {}

  /**
   * The end of a caller's connection as a router could notice it.
   *
   * @param router number of the router
   * @param port of the caller
   * @param atNanos when the end was passed on to the router
   */
  record Departure(int router, int port, long atNanos) {}

  /**
   * An operator's word on a failure domain.
   *
   * @param atNanos when taking it out was acknowledged, or taking it back first asked for
   * @param domain the failure domain
   * @param out whether it is taken out
   */
  record Evacuation(long atNanos, String domain, boolean out) {}

  /**
   * A call of a duty as the platform saw it.
   *
   * @param subject what the duty is about
   * @param holder the VM that called
   * @param fence its fencing token
   * @param content what was ordered or reported
   */
  record Duty(String subject, String holder, long fence, String content) {}

  void add(Call call) {
    calls.add(call);
  }

  void add(Run run) {
    runs.add(run);
  }

  void add(Span span) {
    spans.add(span);
  }

  void add(Read read) {
    reads.add(read);
  }

  void add(Proposed version) {
    proposed.add(version);
  }

  void add(Departure departure) {
    departures.add(departure);
  }

  void add(Evacuation order) {
    evacuations.add(order);
  }

  void add(Acknowledged version) {
    acknowledged.add(version);
  }

  void add(Duty duty) {
    duties.add(duty);
  }

  /** Adds something that nobody may ever see, such as bytes on a connection that asked nothing. */
  void addStray(String what) {
    strays.add(what);
  }

  List<Call> calls() {
    return List.copyOf(calls);
  }

  Map<RequestId, Call> callsById() {
    return calls.stream().collect(Collectors.toMap(Call::id, Function.identity()));
  }

  List<Run> runs() {
    return List.copyOf(runs);
  }

  List<Span> spans() {
    return List.copyOf(spans);
  }

  List<Read> reads() {
    return List.copyOf(reads);
  }

  List<Proposed> proposed() {
    return List.copyOf(proposed);
  }

  List<Departure> departures() {
    return List.copyOf(departures);
  }

  List<Evacuation> evacuations() {
    return List.copyOf(evacuations);
  }

  List<Acknowledged> acknowledged() {
    return List.copyOf(acknowledged);
  }

  List<Duty> duties() {
    return List.copyOf(duties);
  }

  List<String> strays() {
    return List.copyOf(strays);
  }
}
