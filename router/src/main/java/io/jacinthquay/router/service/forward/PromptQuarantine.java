package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.decision.dispatch.RouterIsolation;
import io.jacinthquay.decision.quarantine.BrokenSend;
import io.jacinthquay.decision.quarantine.EstablishedParts;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.decision.quarantine.SuspectTracker;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What a router knows of parts of prompts that crash upstreams, and the evidence that it reports.
 *
 * <p>The leading control VM decides from the evidence of all routers. A router that hears nothing
 * from the control VMs decides by its own evidence until it hears from them again.
 */
final class PromptQuarantine {
  private static final Logger log = LogManager.getLogger();

  /** Maximum number of shared parts of one broken send that are reported. */
  private static final int MAX_PARTS_PER_SEND = 64;

  /** Maximum number of broken sends that are kept for reports; the oldest are dropped. */
  private static final int MAX_BROKEN_SENDS = 32;

  /** Time for which a broken send is reported, in nanoseconds: an election and what follows it. */
  private static final long REPORTED_NANOS = 12_000_000_000L;

  /**
   * Interval at which evidence is repeated, in nanoseconds, since a report or the leader that
   * received it may be lost.
   */
  private static final long REPEAT_NANOS = 2_000_000_000L;

  /** Time for which the permission to try one request is valid, in nanoseconds. */
  private static final long TRIAL_NANOS = 10_000_000_000L;

  /** Maximum number of parts in the reports of rejected requests and in local decisions. */
  private static final int MAX_PARTS = 256;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A broken send and when it was last reported. */
  private static final class Evidence {
    private final BrokenSend send;
    private Optional<Long> reportedNanos = Optional.empty();

    Evidence(BrokenSend send) {
      this.send = send;
    }

    boolean isDue(long now) {
      return reportedNanos.isEmpty() || now - reportedNanos.get() >= REPEAT_NANOS;
    }
  }

  /** The time of an established answer that was reported, and when that was. */
  private record ReportedAnswer(long establishedNanos, long reportedNanos) {}

  private final RouterIsolation contact;
  private final SuspectTracker ownSuspects = new SuspectTracker();
  private final EstablishedParts established = new EstablishedParts();
  private final Deque<Evidence> evidence = new ArrayDeque<>();
  private final Map<PartId, ReportedAnswer> reportedAnswers = new HashMap<>();
  private final Set<PartId> rejected = new LinkedHashSet<>();
  private final Map<PartId, Long> trialsUntilNanos = new HashMap<>();
  private final Set<PartId> ownDecisions = new HashSet<>();
  private Map<PartId, QuarantinedPart> quarantined = Map.of();
  private Set<PartId> suspects = Set.of();

  /**
   * Returns a quarantine without parts.
   *
   * @param contact tells whether the control VMs are silent
   */
  PromptQuarantine(RouterIsolation contact) {
    this.contact = contact;
  }

  /** Returns the shared parts of a prompt. */
  private static List<PartId> ids(List<PromptPart> shared) {
    return PartId.of(shared.subList(0, Math.min(shared.size(), MAX_PARTS_PER_SEND)));
  }

  /** Sets the quarantined parts. */
  void updateQuarantined(Collection<QuarantinedPart> parts) {
    Map<PartId, QuarantinedPart> updated = new HashMap<>();
    parts.forEach(part -> updated.put(part.part(), part));
    if (!updated.keySet().equals(quarantined.keySet())) {
      log.info("quarantined parts of prompts: {}", updated.keySet());
    }
    quarantined = updated;
  }

  /**
   * Records a message from the control VMs.
   *
   * @param newSuspects parts that may have crashed an upstream
   * @param trials quarantined parts with each of which one request may be sent
   */
  void recordControlMessage(Collection<PartId> newSuspects, Collection<PartId> trials, long now) {
    ownDecisions.clear();
    suspects = Set.copyOf(newSuspects);
    trials.forEach(part -> trialsUntilNanos.put(part, now + TRIAL_NANOS));
    trialsUntilNanos.values().removeIf(until -> now - until >= 0);
  }

  /** Returns whether a request with these shared parts must not be sent. */
  boolean rejects(List<PromptPart> shared) {
    return (!quarantined.isEmpty() || !ownDecisions.isEmpty())
        && shared.stream().anyMatch(part -> isQuarantined(new PartId(part.id())));
  }

  private boolean isQuarantined(PartId part) {
    return quarantined.containsKey(part) || ownDecisions.contains(part);
  }

  /**
   * Takes the permission to try one request with these quarantined parts.
   *
   * @return whether the request may be sent
   */
  boolean tryAcquireTrial(List<PromptPart> shared, long now) {
    List<PartId> blocked = PartId.of(shared).stream().filter(this::isQuarantined).toList();
    boolean granted =
        blocked.stream()
            .allMatch(
                part -> trialsUntilNanos.containsKey(part) && now - trialsUntilNanos.get(part) < 0);
    if (granted) {
      blocked.forEach(trialsUntilNanos::remove);
      log.info("trying a request with the quarantined parts {}", blocked);
    } else {
      blocked.stream().filter(part -> rejected.size() < MAX_PARTS).forEach(rejected::add);
    }
    return granted;
  }

  /**
   * Returns the time until a request with these parts may be tried, in milliseconds, 0 or more.
   *
   * @param nowMillis the time of day that all VMs share, in milliseconds since the epoch
   */
  long millisToTrial(List<PromptPart> shared, long nowMillis) {
    return PartId.of(shared).stream()
        .filter(quarantined::containsKey)
        .mapToLong(part -> Math.max(0, quarantined.get(part).retryAtMillis() - nowMillis))
        .max()
        .orElse(0);
  }

  /** Records that an answer on these shared parts is under way. */
  void recordEstablished(List<PromptPart> shared, long now) {
    for (PartId part : PartId.of(shared)) {
      established.record(part, now);
      ownSuspects.recordEstablished(part, now);
    }
  }

  /**
   * Records a send whose connection the upstream closed before the answer was under way.
   *
   * <p>If a quarantined part explains it, the other parts are not blamed.
   */
  void recordBroken(UpstreamId upstream, List<PromptPart> shared, long now) {
    if (shared.isEmpty() || rejects(shared)) {
      return;
    }
    BrokenSend send = new BrokenSend(upstream, ids(shared), now);
    ownSuspects.recordBroken(send, now);
    if (evidence.size() >= MAX_BROKEN_SENDS) {
      evidence.removeFirst();
    }
    evidence.addLast(new Evidence(send));
    if (contact.isControlSilent(now)) {
      for (PartId part : ownSuspects.takeConfirmed(now)) {
        if (ownDecisions.size() < MAX_PARTS) {
          log.warn("part {} is quarantined here while the control VMs are silent", part);
          ownDecisions.add(part);
        }
      }
    }
  }

  /**
   * Returns whether a request whose send to an upstream broke might crash another one: one of its
   * shared parts is suspected because of another upstream already.
   */
  boolean isSuspectBeside(UpstreamId upstream, List<PromptPart> shared) {
    return PartId.of(shared).stream()
        .anyMatch(
            part ->
                isQuarantined(part)
                    || suspects.contains(part)
                    || ownSuspects.isSuspectBeside(part, upstream));
  }

  /** Returns the number of quarantined parts. */
  int size() {
    return quarantined.size() + ownDecisions.size();
  }

  /** Returns the evidence to report now. */
  QuarantineReport report(long now) {
    evidence.removeIf(entry -> now - entry.send.atNanos() > REPORTED_NANOS);
    Map<BrokenSend, Long> brokenSends = new LinkedHashMap<>();
    for (Evidence entry : evidence) {
      if (entry.isDue(now)) {
        entry.reportedNanos = Optional.of(now);
        brokenSends.put(entry.send, (now - entry.send.atNanos()) / NANOS_PER_MILLI);
      }
    }
    QuarantineReport report =
        new QuarantineReport(brokenSends, answersToReport(now), new ArrayList<>(rejected));
    rejected.clear();
    return report;
  }

  private Map<PartId, Long> answersToReport(long now) {
    Set<PartId> asked = new HashSet<>(suspects);
    asked.addAll(quarantined.keySet());
    reportedAnswers.keySet().retainAll(asked);
    Map<PartId, Long> ages = new HashMap<>();
    for (PartId part : asked) {
      OptionalLong last = established.lastNanos(part);
      if (last.isPresent() && isNews(part, last.getAsLong(), now)) {
        reportedAnswers.put(part, new ReportedAnswer(last.getAsLong(), now));
        ages.put(part, (now - last.getAsLong()) / NANOS_PER_MILLI);
      }
    }
    return ages;
  }

  private boolean isNews(PartId part, long establishedNanos, long now) {
    ReportedAnswer reported = reportedAnswers.get(part);
    return reported == null
        || reported.establishedNanos() != establishedNanos
        || now - reported.reportedNanos() >= REPEAT_NANOS;
  }
}
