package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.learning.FixedRates;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The engines of a pool that are reserved for pause-sensitive streams.
 *
 * <p>While an engine reads a long prompt, every stream on it pauses for too long. If chats ran on
 * all engines, any long prompt would delay some of them. As many engines as the chats need, the
 * same ones at every router, are therefore reserved for chats; long prompts go there only when all
 * other engines are full. Where rates are learned, these are the engines with the shortest pauses,
 * and none are reserved while enough engines keep the pause target of chats beside any prompt. Not
 * thread-safe.
 */
final class ReservedEngines {
  /** Total pause sensitivity per reserved engine: eight chats with a target of 0.12 s. */
  private static final double SENSITIVITY_PER_ENGINE = 7;

  /** Fewest engines of a pool that reserves any; in smaller pools too few would be left. */
  private static final int MIN_POOL_ENGINES = 4;

  /** Interval between refreshes of the size, in nanoseconds. */
  private static final long REFRESH_NANOS = 250_000_000L;

  /**
   * Time before the reservation shrinks by one engine, in nanoseconds; each change moves the home
   * engines of prefixes.
   */
  private static final long SHRINK_NANOS = 5_000_000_000L;

  /**
   * Ratio of two learned times per token from which one counts as longer; smaller differences vary
   * by router, and all routers should reserve the same engines.
   */
  private static final double DISTINCT_RATIO = 1.5;

  /**
   * Engines that chats need while long prompts run beside them, compared with reserved ones: a chat
   * there also waits for the prompts that are being read.
   */
  private static final int SHARED_ENGINES_FACTOR = 3;

  private final PrefillPause pause;
  private final CurrentRates rates;
  private int chatGapMillis = PrefillPause.MAX_CHAT_GAP_MILLIS;
  private long chatGapAt;
  private long orderedAt;
  private int orderedFor;
  private Set<UpstreamState> reserved = Set.of();
  private int size = 1;
  private long refreshedAt;
  private long sizeNeededAt;
  private boolean current;

  /** Returns an empty reservation. */
  ReservedEngines(PrefillPause pause, CurrentRates rates) {
    this.pause = pause;
    this.rates = rates;
  }

  /** Returns whether the engines are reserved for requests like this one. */
  boolean isFor(PoolRequest work) {
    return rates.isLearned()
        ? PrefillPause.isChat(work) && !reserved.isEmpty()
        : pause.exceedsTarget(work);
  }

  /** Returns whether a request would pause for too long on an engine that reads prompts. */
  boolean pausesTooLong(PoolRequest work, UpstreamState engine) {
    return PrefillPause.isChat(work) && pausesTooLong(engine, work.gapTargetMillis());
  }

  private boolean pausesTooLong(UpstreamState engine, int gapMillis) {
    return pause.exceeds(rates.get().longTokenMillis(engine.listing()), gapMillis);
  }

  /** Records the pause target of a chat; the tightest of the last seconds counts. */
  void recordTarget(PoolRequest work, long now) {
    if (!PrefillPause.isChat(work)) {
      return;
    }
    int gapMillis = work.gapTargetMillis();
    if (gapMillis <= chatGapMillis || now - chatGapAt > SHRINK_NANOS) {
      orderedFor = gapMillis == chatGapMillis ? orderedFor : 0;
      chatGapMillis = gapMillis;
      chatGapAt = now;
    }
  }

  /** Makes the next refresh immediate because the engines of the pool changed. */
  void invalidate() {
    current = false;
    orderedFor = 0;
  }

  /**
   * Updates the reservation if a refresh is due.
   *
   * @param engines the engines that may be used now; evaluated only if a refresh is due
   */
  void refresh(Supplier<List<UpstreamState>> engines, long now) {
    if (current && now - refreshedAt < REFRESH_NANOS) {
      return;
    }
    current = true;
    refreshedAt = now;
    List<UpstreamState> usable = engines.get();
    double sensitivity =
        usable.stream().mapToDouble(state -> state.load().pauseSensitivity()).sum();
    int neededSize = 1 + (int) Math.floor(sensitivity / SENSITIVITY_PER_ENGINE);
    if (neededSize >= size) {
      size = neededSize;
      sizeNeededAt = now;
    } else if (now - sizeNeededAt > SHRINK_NANOS) {
      size--;
      sizeNeededAt = now;
    }
    if (rates.isLearned() && orderedFor == size && now - orderedAt < SHRINK_NANOS) {
      return;
    }
    orderedAt = now;
    orderedFor = size;
    int maxSize = usable.size() < MIN_POOL_ENGINES ? 0 : usable.size() / 2;
    List<UpstreamState> ordered = ordered(usable);
    int count = rates.isLearned() ? neededCount(ordered) : size;
    reserved = new HashSet<>(ordered.subList(0, Math.min(count, maxSize)));
  }

  /**
   * Returns how many engines have the speed that the chats need; none if enough engines keep their
   * pause target beside long prompts.
   */
  private int neededCount(List<UpstreamState> ordered) {
    double shared =
        ordered.stream()
            .filter(state -> !pausesTooLong(state, chatGapMillis))
            .mapToDouble(this::relativeSpeed)
            .sum();
    if (shared >= SHARED_ENGINES_FACTOR * size) {
      return 0;
    }
    int count = 0;
    for (double speed = 0; speed < size && count < ordered.size(); count++) {
      speed += relativeSpeed(ordered.get(count));
    }
    return count;
  }

  /** Returns the speed of an engine compared with the one for which the size is stated. */
  private double relativeSpeed(UpstreamState state) {
    return rates.get().promptTokensPerMilli(state.listing()) / FixedRates.PROMPT_TOKENS_PER_MILLI;
  }

  private List<UpstreamState> ordered(List<UpstreamState> usable) {
    List<UpstreamState> ordered = new ArrayList<>(usable);
    ordered.sort(
        Comparator.comparingLong((UpstreamState state) -> pauseRank(state))
            .thenComparingLong(state -> RendezvousHash.weight(0, state.listing().upstream())));
    return ordered;
  }

  private long pauseRank(UpstreamState state) {
    double tokenMillis = rates.get().longTokenMillis(state.listing());
    return Math.round(Math.log(tokenMillis) / Math.log(DISTINCT_RATIO));
  }

  boolean contains(UpstreamState state) {
    return reserved.contains(state);
  }
}
