package io.jacinthquay.control.service;

import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.control.state.QuarantineTable;
import io.jacinthquay.decision.quarantine.BrokenSend;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.decision.quarantine.SuspectTracker;
import io.jacinthquay.wire.convert.QuarantineMessages;
import io.jacinthquay.wire.gen.BrokenSendMessage;
import io.jacinthquay.wire.gen.EstablishedPartMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Quarantines parts of prompts that crash upstreams, from what all routers report to the leader.
 *
 * <p>The evidence is held in memory; routers repeat what is recent, so a new leader has it within
 * seconds. The quarantined parts are replicated. Thread-safe.
 */
public final class PartQuarantine {
  private static final Logger log = LogManager.getLogger();

  /** Maximum number of suspects that routers are told of. */
  private static final int MAX_TOLD_SUSPECTS = 64;

  /**
   * Shortest time between two selections of suspects, in nanoseconds, so that their cost does not
   * grow with the reports when many upstreams fail at once.
   */
  private static final long TELL_INTERVAL_NANOS = 50_000_000L;

  /** Time for which a proposal is awaited before it is made again, in nanoseconds. */
  private static final long PROPOSAL_TIMEOUT_NANOS = 2_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A change of the table that is not known to be committed. */
  @SuppressWarnings("ArrayRecordComponent")
  private record Proposal(byte[] command, long atNanos) {
    boolean isOverdue(long now) {
      return now - atNanos > PROPOSAL_TIMEOUT_NANOS;
    }
  }

  private final ControlStore store;
  private final LongSupplier clock;
  private final LongSupplier wallMillis;
  private final Map<PartId, Proposal> proposals = new HashMap<>();
  private SuspectTracker tracker = new SuspectTracker();
  private List<PartId> suspects = List.of();
  private boolean suspectsChanged;
  private long suspectsNanos;
  private long term = -1;

  /**
   * Returns a quarantine without evidence.
   *
   * @param store holds the quarantined parts
   * @param clock monotonic, in nanoseconds
   * @param wallMillis the time of day that all VMs share, in milliseconds since the epoch
   */
  public PartQuarantine(ControlStore store, LongSupplier clock, LongSupplier wallMillis) {
    this.store = store;
    this.clock = clock;
    this.wallMillis = wallMillis;
    this.suspectsNanos = clock.getAsLong() - TELL_INTERVAL_NANOS;
  }

  /** Records what a router reports about broken sends and established answers. */
  public synchronized void recordReport(RouterReportMessage report) {
    forgetFormerTerm();
    long now = clock.getAsLong();
    for (BrokenSendMessage message : report.getBrokenSends()) {
      long ageMillis = ageMillis(report, message.getWallMillis());
      BrokenSend send = QuarantineMessages.toBrokenSend(message, now - ageMillis * NANOS_PER_MILLI);
      if (send.parts().stream().noneMatch(this::isQuarantined)) {
        tracker.recordBroken(send, now);
      }
    }
    for (EstablishedPartMessage message : report.getEstablishedParts()) {
      long ageMillis = ageMillis(report, message.getWallMillis());
      recordEstablished(new PartId(message.getPart()), ageMillis);
    }
    suspectsChanged |=
        !report.getBrokenSends().isEmpty() || !report.getEstablishedParts().isEmpty();
  }

  /** Returns how long ago something happened by the clock of the router that reports it. */
  private static long ageMillis(RouterReportMessage report, long atWallMillis) {
    return Math.max(0, report.getWallMillis() - atWallMillis);
  }

  /** Forgets the evidence of a former term, since answers were meanwhile reported elsewhere. */
  private void forgetFormerTerm() {
    long current = store.status().term();
    if (term != current) {
      term = current;
      tracker = new SuspectTracker();
      suspects = List.of();
      suspectsChanged = false;
      proposals.clear();
    }
  }

  private QuarantineTable table() {
    return store.tables().quarantine();
  }

  private boolean isQuarantined(PartId part) {
    return table().get(part).isPresent() || proposals.containsKey(part);
  }

  private void recordEstablished(PartId part, long ageMillis) {
    tracker.recordEstablished(part, clock.getAsLong() - ageMillis * NANOS_PER_MILLI);
    Optional<QuarantinedPart> entry = table().get(part);
    boolean since =
        entry.isPresent() && wallMillis.getAsLong() - ageMillis > entry.get().sinceMillis();
    if (since && !proposals.containsKey(part)) {
      log.warn("part {} is released: an answer on it is under way", part);
      propose(part, ControlState.releaseCommand(part));
    }
  }

  /** Quarantines the parts that are confirmed by now, and repeats proposals that were lost. */
  public synchronized void confirm() {
    forgetFormerTerm();
    long now = clock.getAsLong();
    List<PartId> confirmed = tracker.takeConfirmed(now);
    for (PartId part : confirmed) {
      QuarantinedPart entry = QuarantinedPart.startingAt(part, wallMillis.getAsLong());
      log.warn(
          "part {} is quarantined: upstreams crashed as answers on it began; next trial at {}",
          part,
          entry.retryAtMillis());
      propose(part, ControlState.quarantineCommand(entry));
    }
    suspectsChanged |= !confirmed.isEmpty();
    Map.copyOf(proposals)
        .forEach(
            (part, proposal) -> {
              if (proposal.isOverdue(now)) {
                propose(part, proposal.command());
              }
            });
  }

  private void propose(PartId part, byte[] command) {
    Proposal proposal = new Proposal(command, clock.getAsLong());
    proposals.put(part, proposal);
    var unused =
        store
            .propose(command)
            .thenAccept(
                result ->
                    result
                        .peek(applied -> forget(part, proposal))
                        .peekLeft(
                            failure ->
                                log.warn(
                                    "a change of the quarantine of part {} failed: {}",
                                    part,
                                    failure.detail())));
  }

  private synchronized void forget(PartId part, Proposal proposal) {
    proposals.remove(part, proposal);
  }

  /**
   * Returns the parts with each of which the router that sends a report may try one request. Only
   * routers that just rejected such a request are asked, and one router at a time.
   */
  public synchronized List<PartId> trials(RouterReportMessage report) {
    long nowMillis = wallMillis.getAsLong();
    List<PartId> trials = new ArrayList<>();
    for (PartId part : QuarantineMessages.toIds(report.getRejectedParts())) {
      Optional<QuarantinedPart> entry = table().get(part);
      if (entry.isPresent() && entry.get().isTrialDue(nowMillis) && !proposals.containsKey(part)) {
        QuarantinedPart next = entry.get().withTrialAt(nowMillis);
        log.info("router {} may try a request with part {}", report.getRouter(), part);
        propose(part, ControlState.quarantineCommand(next));
        trials.add(part);
      }
    }
    return trials;
  }

  /** Returns the parts that may have crashed an upstream, so that routers report on them. */
  public synchronized List<PartId> suspects() {
    long now = clock.getAsLong();
    if (suspectsChanged && now - suspectsNanos >= TELL_INTERVAL_NANOS) {
      suspects = tracker.suspects(MAX_TOLD_SUSPECTS);
      suspectsNanos = now;
      suspectsChanged = false;
    }
    return suspects;
  }
}
