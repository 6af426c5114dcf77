package io.jacinthquay.decision.quarantine;

import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds parts of prompts that crash upstreams.
 *
 * <p>Handles a load in which a part that crashes every upstream comes with a few percent of the
 * requests, each time with other parts, a customer and a route that sound requests use too. A crash
 * breaks the answers of bystanders as well. A bystander's parts are cleared by the next answer that
 * gets under way on them; on the cause no answer ever does. A part is confirmed as the cause once
 * it was present at several crashes, apart in time and at different upstreams, with no such answer
 * since the first of them.
 *
 * <p>Evidence may arrive twice, late and in any order. Not thread-safe.
 */
public final class SuspectTracker {
  /** Number of crashes that confirm a part on which no answer was ever established. */
  private static final int MIN_CRASHES = 3;

  /**
   * Number of crashes that confirm a part that was served before, or that came together with a
   * confirmed part at first and then without it.
   */
  private static final int MIN_CRASHES_AGAINST_DOUBT = 4;

  /**
   * Time from the first suspicion to the first possible confirmation, in nanoseconds: twice what
   * the routers need to hear of a suspect and to report answers that are under way on it.
   */
  private static final long CONFIRMATION_NANOS = 1_500_000_000L;

  /** Time after which a suspect without a further crash is forgotten, in nanoseconds. */
  private static final long EXPIRY_NANOS = 300_000_000_000L;

  /** Time between two searches for expired suspects, in nanoseconds. */
  private static final long EXPIRY_INTERVAL_NANOS = 1_000_000_000L;

  /** Maximum number of suspects; those with the fewest and oldest crashes are dropped. */
  static final int MAX_SUSPECTS = 1_024;

  private final Map<PartId, Suspect> suspects = new LinkedHashMap<>();
  private long expiredNanos;

  /** Records a broken send. */
  public void recordBroken(BrokenSend send, long now) {
    if (now - expiredNanos >= EXPIRY_INTERVAL_NANOS) {
      expiredNanos = now;
      suspects.values().removeIf(suspect -> now - suspect.lastNanos() > EXPIRY_NANOS);
    }
    for (int depth = 0; depth < send.parts().size(); depth++) {
      PartId part = send.parts().get(depth);
      Suspect suspect = suspects.get(part);
      if (suspect == null) {
        makeRoom();
        suspect = new Suspect(now);
        suspects.put(part, suspect);
      }
      suspect.add(send, depth);
    }
  }

  private void makeRoom() {
    if (suspects.size() >= MAX_SUSPECTS) {
      suspects.entrySet().stream()
          .min(Map.Entry.comparingByValue(Suspect.BY_EVIDENCE))
          .map(Map.Entry::getKey)
          .ifPresent(suspects::remove);
    }
  }

  /**
   * Records that an answer on a part was under way.
   *
   * @param atNanos when it was, on the monotonic clock
   */
  public void recordEstablished(PartId part, long atNanos) {
    Suspect suspect = suspects.get(part);
    if (suspect != null) {
      suspect.recordEstablished(atNanos);
    }
  }

  /**
   * Returns the suspects with the most crashes.
   *
   * @param limit maximum number, 0 or more
   */
  public List<PartId> suspects(int limit) {
    return suspects.entrySet().stream()
        .filter(entry -> entry.getValue().allCrashes() > 0)
        .sorted(Map.Entry.comparingByValue(Suspect.BY_EVIDENCE.reversed()))
        .limit(limit)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns how many crashes are held against a part. */
  public int crashes(PartId part) {
    return Optional.ofNullable(suspects.get(part)).map(Suspect::crashes).orElse(0);
  }

  /** Returns whether a part is suspected because of an upstream other than the given one. */
  public boolean isSuspectBeside(PartId part, UpstreamId upstream) {
    Suspect suspect = suspects.get(part);
    return suspect != null && suspect.isSuspectBeside(upstream);
  }

  /**
   * Returns the parts that are confirmed now and forgets them.
   *
   * <p>Of parts that came together in every crash, the one furthest down the prompt is confirmed,
   * since it is in the fewest prompts. The next crash without it confirms the other.
   */
  public List<PartId> takeConfirmed(long now) {
    List<PartId> confirmed = new ArrayList<>();
    for (Optional<PartId> next = mostSuspect(now); next.isPresent(); next = mostSuspect(now)) {
      Suspect cause = suspects.remove(next.get());
      confirmed.add(next.get());
      suspects.values().forEach(suspect -> suspect.recordExplainedBy(cause));
    }
    return confirmed;
  }

  private Optional<PartId> mostSuspect(long now) {
    return suspects.entrySet().stream()
        .filter(entry -> isConfirmed(entry.getValue(), now))
        .min(
            Comparator.comparing((Map.Entry<PartId, Suspect> entry) -> entry.getValue().wasServed())
                .thenComparing(entry -> -entry.getValue().crashes())
                .thenComparing(entry -> -entry.getValue().depth()))
        .map(Map.Entry::getKey);
  }

  private static boolean isConfirmed(Suspect suspect, long now) {
    boolean enough =
        suspect.wasServed()
            ? suspect.crashes() >= MIN_CRASHES_AGAINST_DOUBT
            : suspect.crashes() >= MIN_CRASHES
                || (suspect.crashes() > 0 && suspect.allCrashes() >= MIN_CRASHES_AGAINST_DOUBT);
    return enough
        && suspect.isAtSeveralUpstreams()
        && now - suspect.sinceNanos() >= CONFIRMATION_NANOS;
  }
}
