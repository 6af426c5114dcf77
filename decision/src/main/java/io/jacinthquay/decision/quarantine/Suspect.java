package io.jacinthquay.decision.quarantine;

import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The crashes that a part of a prompt may have caused. */
final class Suspect {
  /**
   * Crashes closer to each other than this are one, in nanoseconds: a rack that fails takes many
   * upstreams along at once.
   */
  private static final long MIN_CRASH_GAP_NANOS = 250_000_000L;

  /**
   * Time within which an upstream crashes at most once, in nanoseconds, since it has to start
   * between two crashes. Reports of one crash that arrive late or twice fall into it.
   */
  private static final long MIN_RESTART_NANOS = 2_000_000_000L;

  /** Maximum number of crashes of each kind that are kept; more than any decision needs. */
  private static final int MAX_CRASHES = 8;

  private record Crash(UpstreamId upstream, long atNanos) {
    boolean isNear(Crash other) {
      return Math.abs(other.atNanos - atNanos) < MIN_CRASH_GAP_NANOS;
    }

    boolean isSameAs(BrokenSend send) {
      long gap = Math.abs(send.atNanos() - atNanos);
      return gap < MIN_CRASH_GAP_NANOS
          || (gap < MIN_RESTART_NANOS && upstream.equals(send.upstream()));
    }
  }

  /** Orders suspects by their evidence: fewer crashes first, then older ones. */
  static final Comparator<Suspect> BY_EVIDENCE =
      Comparator.comparingInt(Suspect::allCrashes).thenComparingLong(Suspect::lastNanos);

  private final List<Crash> crashes = new ArrayList<>();
  private final List<Crash> explained = new ArrayList<>();
  private final long sinceNanos;
  private int depth;
  private boolean served;
  private long establishedNanos;

  Suspect(long now) {
    sinceNanos = now;
  }

  /**
   * Adds a crash, unless it is known or an answer was established on the part after it.
   *
   * @param newDepth number of parts before this one in the prompt
   */
  void add(BrokenSend send, int newDepth) {
    depth = newDepth;
    boolean cleared = served && establishedNanos - send.atNanos() >= 0;
    boolean known = withExplained().anyMatch(crash -> crash.isSameAs(send));
    if (!cleared && !known) {
      if (crashes.size() >= MAX_CRASHES) {
        crashes.remove(0);
      }
      crashes.add(new Crash(send.upstream(), send.atNanos()));
    }
  }

  /** Records that an answer was under way at a time; crashes before it had another cause. */
  void recordEstablished(long atNanos) {
    if (!served || atNanos - establishedNanos > 0) {
      establishedNanos = atNanos;
    }
    served = true;
    crashes.removeIf(crash -> establishedNanos - crash.atNanos() >= 0);
    explained.removeIf(crash -> establishedNanos - crash.atNanos() >= 0);
  }

  /** Records that a confirmed part was present at some of the crashes and explains them. */
  void recordExplainedBy(Suspect cause) {
    List<Crash> both =
        crashes.stream().filter(crash -> cause.crashes.stream().anyMatch(crash::isNear)).toList();
    crashes.removeAll(both);
    explained.addAll(both);
    while (explained.size() > MAX_CRASHES) {
      explained.remove(0);
    }
  }

  /** Returns the number of crashes that no confirmed part explains. */
  int crashes() {
    return crashes.size();
  }

  /** Returns the number of all crashes without an answer that was established after them. */
  int allCrashes() {
    return crashes.size() + explained.size();
  }

  /** Returns the number of parts before this one in the prompt that was last seen to break. */
  int depth() {
    return depth;
  }

  /** Returns whether the crashes were at more than one upstream. */
  boolean isAtSeveralUpstreams() {
    return withExplained().map(Crash::upstream).distinct().count() > 1;
  }

  /** Returns whether an upstream other than the given one may have crashed by the part. */
  boolean isSuspectBeside(UpstreamId upstream) {
    return crashes.stream().anyMatch(crash -> !crash.upstream().equals(upstream));
  }

  /** Returns whether an answer on the part was ever established. */
  boolean wasServed() {
    return served;
  }

  /** Returns when the part was first suspected. */
  long sinceNanos() {
    return sinceNanos;
  }

  /** Returns the time of the last crash, or of the first suspicion if none is left. */
  long lastNanos() {
    return withExplained().mapToLong(Crash::atNanos).max().orElse(sinceNanos);
  }

  private Stream<Crash> withExplained() {
    return Stream.concat(crashes.stream(), explained.stream());
  }
}
