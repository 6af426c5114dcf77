package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Records what callers, upstreams, operators and the platform saw. Thread-safe. */
final class History {
  private final Collection<Call> calls = new ConcurrentLinkedQueue<>();
  private final Collection<Run> runs = new ConcurrentLinkedQueue<>();
  private final Collection<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  private final Collection<StatedLimit> statedLimits = new ConcurrentLinkedQueue<>();
  private final Collection<Listed> listed = new ConcurrentLinkedQueue<>();
  private final Collection<FaultPeriod> faultPeriods = new ConcurrentLinkedQueue<>();
  private final Collection<Read> reads = new ConcurrentLinkedQueue<>();
  private final Collection<Proposed> proposed = new ConcurrentLinkedQueue<>();
  private final Collection<Acknowledged> acknowledged = new ConcurrentLinkedQueue<>();
  private final Collection<Evacuation> evacuations = new ConcurrentLinkedQueue<>();
  private final Collection<DomainChange> domainChanges = new ConcurrentLinkedQueue<>();
  private final Collection<Disconnect> disconnects = new ConcurrentLinkedQueue<>();
  private final Collection<UpstreamClose> upstreamCloses = new ConcurrentLinkedQueue<>();
  private final Collection<Duty> duties = new ConcurrentLinkedQueue<>();
  private final Collection<OwnEnd> ownEnds = new ConcurrentLinkedQueue<>();
  private final Collection<RetryShare> retryShares = new ConcurrentLinkedQueue<>();
  private final Collection<SpoiltAnswer> spoiltAnswers = new ConcurrentLinkedQueue<>();
  private final Collection<String> unexpected = new ConcurrentLinkedQueue<>();

  /**
   * A request that an upstream read, whether it ran it or not.
   *
   * @param upstream number of the upstream
   * @param atNanos when it had been read, on the monotonic clock
   * @param misdirected whether it named another lifetime of the upstream, which refused it with 421
   */
  record Arrival(RequestId id, int upstream, long atNanos, boolean misdirected) {
    /** An arrival that names the upstream's current lifetime, or none. */
    Arrival(RequestId id, int upstream, long atNanos) {
      this(id, upstream, atNanos, false);
    }

    String service() {
      return Documents.serviceOf(upstream);
    }
  }

  /**
   * A change of an upstream's entry in the platform's list.
   *
   * @param upstream number of the upstream
   * @param ready whether the list shows it as ready, and not as draining or not at all
   * @param atNanos when the list first showed it so, on the monotonic clock
   * @param version version of its software; empty if it is not listed
   */
  record Listed(int upstream, boolean ready, long atNanos, String version) {
    /** A change for which the version does not matter. */
    Listed(int upstream, boolean ready, long atNanos) {
      this(upstream, ready, atNanos, "");
    }
  }

  /**
   * An answer in which an upstream states how many requests it takes.
   *
   * @param id the answered request
   * @param upstream number of the upstream
   * @param lifetime id of its lifetime; a new one has told nobody yet
   * @param perSecond requests per second from all routers together
   * @param atNanos when it was sent, on the monotonic clock
   */
  record StatedLimit(RequestId id, int upstream, String lifetime, double perSecond, long atNanos) {}

  /**
   * A version of the document that an operator read.
   *
   * @param requestedNanos when the read was sent
   */
  record Read(long requestedNanos, long version) {}

  /**
   * A version of the document that may be in force from a time on.
   *
   * @param atNanos when it was first sent to a control VM
   */
  record Proposed(long atNanos, long version) {}

  /**
   * A version of the document that was acknowledged.
   *
   * @param atNanos when the operator received the acknowledgement
   */
  record Acknowledged(long atNanos, long version) {}

  /**
   * The disconnect of a caller, as a router could notice it.
   *
   * @param router number of the router
   * @param port local port of the caller
   * @param atNanos when the link forwarded the end of the connection to the router
   */
  record Disconnect(int router, int port, long atNanos) {}

  /**
   * The end of a router's connection to an upstream. Times are on the monotonic clock.
   *
   * @param upstream number of the upstream
   * @param port the port from which the link was connected to the upstream
   * @param seenNanos when the link saw the end
   * @param forwardedNanos when the link forwarded it to the upstream
   */
  record UpstreamClose(int upstream, int port, long seenNanos, long forwardedNanos) {}

  void add(UpstreamClose close) {
    upstreamCloses.add(close);
  }

  List<UpstreamClose> upstreamCloses() {
    return List.copyOf(upstreamCloses);
  }

  /**
   * An operator's evacuation of a failure domain, or its end.
   *
   * @param atNanos when the evacuation was acknowledged, or its end first requested
   * @param domain the failure domain
   * @param out true for an evacuation, false for its end
   */
  record Evacuation(long atNanos, String domain, boolean out) {}

  /**
   * A change of whether requests may be kept out of a failure domain.
   *
   * @param atNanos when its evacuation was first requested, or the end of one acknowledged
   */
  record DomainChange(long atNanos, String domain, boolean mayBeOut) {}

  void add(DomainChange change) {
    domainChanges.add(change);
  }

  List<DomainChange> domainChanges() {
    return List.copyOf(domainChanges);
  }

  /**
   * A scaling or usage call that the platform received from the holder of a duty.
   *
   * @param subject the usage window, or the service and failure domain to scale
   * @param holder name of the calling VM
   * @param fencingToken fencing token of the call; -1 if absent
   * @param content the order, or the reported counts
   */
  record Duty(String subject, String holder, long fencingToken, String content) {}

  /**
   * The end of a process that the soak did not cause.
   *
   * @param where whether it was a router or a control VM
   * @param number number of the router or control VM
   * @param exitCode its exit code
   * @param atNanos when it ended, on the monotonic clock
   * @param lastLines the last lines of its output
   */
  record OwnEnd(
      FaultKind.Where where, int number, int exitCode, long atNanos, List<String> lastLines) {
    OwnEnd {
      lastLines = List.copyOf(lastLines);
    }
  }

  /**
   * The part of the shared extra retries that a router said it uses.
   *
   * @param percent the part, in percent of all extra retries
   */
  record RetryShare(int router, long percent, long atNanos) {}

  /**
   * An answer that an upstream spoilt.
   *
   * @param how what was wrong with it
   */
  record SpoiltAnswer(RequestId id, String how) {}

  void add(SpoiltAnswer answer) {
    spoiltAnswers.add(answer);
  }

  /** Returns what was wrong with the spoilt answers to each request. */
  Map<RequestId, List<String>> spoiltAnswers() {
    return spoiltAnswers.stream()
        .collect(
            Collectors.groupingBy(
                SpoiltAnswer::id, Collectors.mapping(SpoiltAnswer::how, Collectors.toList())));
  }

  void add(RetryShare share) {
    retryShares.add(share);
  }

  List<RetryShare> retryShares() {
    return List.copyOf(retryShares);
  }

  void add(StatedLimit limit) {
    statedLimits.add(limit);
  }

  /** Returns the statements of limits, in any order. */
  Collection<StatedLimit> statedLimits() {
    return statedLimits;
  }

  void add(OwnEnd end) {
    ownEnds.add(end);
  }

  void add(Call call) {
    calls.add(call);
  }

  void add(Run run) {
    runs.add(run);
  }

  void add(Arrival arrival) {
    arrivals.add(arrival);
  }

  void add(Listed change) {
    listed.add(change);
  }

  void add(FaultPeriod period) {
    faultPeriods.add(period);
  }

  void add(Read read) {
    reads.add(read);
  }

  void add(Proposed version) {
    proposed.add(version);
  }

  void add(Disconnect disconnect) {
    disconnects.add(disconnect);
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

  /** Adds something that must never be seen, such as bytes that no request asked for. */
  void addUnexpected(String description) {
    unexpected.add(description);
  }

  List<Call> calls() {
    return List.copyOf(calls);
  }

  /** Returns all attempts at each stream in the order in which they were sent, by the first id. */
  Map<RequestId, List<Call>> streams() {
    return calls.stream()
        .filter(call -> call.kind().isStream())
        .sorted(Comparator.comparingLong(Call::sentNanos))
        .collect(Collectors.groupingBy(Call::stream));
  }

  Map<RequestId, Call> callsById() {
    return calls.stream().collect(Collectors.toMap(Call::id, Function.identity()));
  }

  List<Run> runs() {
    return List.copyOf(runs);
  }

  List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  List<Listed> listed() {
    return List.copyOf(listed);
  }

  List<FaultPeriod> faultPeriods() {
    return List.copyOf(faultPeriods);
  }

  List<Read> reads() {
    return List.copyOf(reads);
  }

  List<Proposed> proposed() {
    return List.copyOf(proposed);
  }

  List<Disconnect> disconnects() {
    return List.copyOf(disconnects);
  }

  List<Evacuation> evacuations() {
    return List.copyOf(evacuations);
  }

  List<Acknowledged> acknowledged() {
    return List.copyOf(acknowledged);
  }

  List<OwnEnd> ownEnds() {
    return List.copyOf(ownEnds);
  }

  List<Duty> duties() {
    return List.copyOf(duties);
  }

  List<String> unexpected() {
    return List.copyOf(unexpected);
  }
}
