package io.jacinthquay.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The engines of a pool that are kept for streams which a pause makes late.
 *
 * <p>Answers the load of short chats beside long prompts: while an engine reads a long prompt,
 * every stream on it pauses for too long, wherever the prompt is placed, if chats run everywhere. A
 * few engines, the same at every router, are therefore kept for chats, as many as these need; long
 * prompts go there only when the others are full. Not thread-safe.
 */
final class SteadyShare {
  /** Fragility that one kept engine takes: eight chats at a target of 0.12 s. */
  private static final double FRAGILITY_PER_ENGINE = 7;

  /** Pools with fewer engines keep none, since the others would be too few. */
  private static final int FEWEST_ENGINES = 4;

  /** Time between two looks at the size. */
  private static final long LOOK_NANOS = 250_000_000L;

  /** Time for which the share keeps its size before it shrinks, since homes move with it. */
  private static final long SHRINK_NANOS = 5_000_000_000L;

  private final ReadingPause pause;
  private Set<UpstreamState> kept = Set.of();
  private int size = 1;
  private long lookedAt;
  private long wantedAt;
  private boolean looked;

  /** Returns a share without engines, of a pool whose streams' pauses are known. */
  SteadyShare(ReadingPause pause) {
    this.pause = pause;
  }

  /** Returns whether a request is one that the share is kept for. */
  boolean isFor(Work work) {
    return pause.harms(work);
  }

  /** The engines are others now. */
  void listed() {
    looked = false;
  }

  /**
   * Looks at the size again, if that is due.
   *
   * @param engines the engines that may be used now; asked for only where a look is due
   */
  void look(Supplier<List<UpstreamState>> engines, long now) {
    if (looked && now - lookedAt < LOOK_NANOS) {
      return;
    }
    looked = true;
    lookedAt = now;
    List<UpstreamState> usable = engines.get();
    double fragility = usable.stream().mapToDouble(state -> state.load().fragility()).sum();
    int wanted = 1 + (int) Math.floor(fragility / FRAGILITY_PER_ENGINE);
    if (wanted >= size) {
      size = wanted;
      wantedAt = now;
    } else if (now - wantedAt > SHRINK_NANOS) {
      size--;
      wantedAt = now;
    }
    List<UpstreamState> order = new ArrayList<>(usable);
    order.sort(Comparator.comparingLong(state -> Rank.of(0, state.listing().upstream())));
    int most = usable.size() < FEWEST_ENGINES ? 0 : usable.size() / 2;
    kept = new HashSet<>(order.subList(0, Math.min(size, most)));
  }

  boolean contains(UpstreamState state) {
    return kept.contains(state);
  }
}
