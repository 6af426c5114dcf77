package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The engines that hold a shared prompt prefix, and the cost of transferring it to another engine.
 *
 * <p>Handles a prefix that more prompts share than one engine can serve: other engines fetch it
 * from an engine that has read it, which is faster than reading it again.
 */
final class SharedPrefix {
  /** Fewest tokens for which a transfer is faster than prefill. */
  private static final int MIN_TRANSFER_TOKENS = 1_000;

  /** Time to open a transfer between two engines, in milliseconds. */
  private static final double TRANSFER_SETUP_MILLIS = 6;

  /** Factor on the transfer time between failure domains. */
  private static final double REMOTE_TRANSFER_FACTOR = 2;

  private static final double NANOS_PER_MILLI = 1e6;

  private record Holder(UpstreamState state, int tokens) {}

  private final UpstreamState home;
  private final double tokensPerMilli;
  private final long now;
  private final Map<DomainId, Holder> holders = new HashMap<>();

  /**
   * Returns a prefix without holders.
   *
   * @param home the engine that owns the prefix, the same at every router; null if there is none
   * @param tokensPerMilli transfer rate in tokens per millisecond; 0 if engines can't transfer
   */
  SharedPrefix(UpstreamState home, double tokensPerMilli, long now) {
    this.home = home;
    this.tokensPerMilli = tokensPerMilli;
    this.now = now;
  }

  /** Adds an engine that has read the first tokens of the prefix. */
  void addHolder(UpstreamState state, int tokens) {
    if (tokensPerMilli > 0 && tokens >= MIN_TRANSFER_TOKENS) {
      holders.merge(
          state.listing().domain(),
          new Holder(state, tokens),
          (known, added) -> isBetter(added, known) ? added : known);
    }
  }

  private static boolean isBetter(Holder candidate, Holder known) {
    boolean sooner = candidate.state().linkFreeAt() - known.state().linkFreeAt() < 0;
    return candidate.tokens() > known.tokens() || (candidate.tokens() == known.tokens() && sooner);
  }

  boolean isHome(UpstreamState state) {
    return state == home;
  }

  /**
   * Returns whether an engine owns or holds the prefix, so that it has less of the prompt to read.
   */
  boolean reducesPrefill(PoolRequest work, UpstreamState state) {
    int shared = work.promptTokens() - work.ownTokens();
    return shared >= MIN_TRANSFER_TOKENS
        && (isHome(state)
            || state.prefixes().cachedTokens(work.sharedParts()) >= MIN_TRANSFER_TOKENS);
  }

  /** Returns whether no engine is known to hold the prefix. */
  boolean hasNoHolder() {
    return holders.isEmpty();
  }

  /**
   * Returns the transfer that supplies most of the tokens that an engine lacks.
   *
   * @param cachedTokens tokens of the prompt that the engine has cached
   */
  Optional<PrefixTransfer> transferTo(UpstreamState target, int cachedTokens) {
    PrefixTransfer best = null;
    for (Holder holder : holders.values()) {
      int tokens = holder.tokens() - cachedTokens;
      if (holder.state() == target || tokens < MIN_TRANSFER_TOKENS) {
        continue;
      }
      PrefixTransfer transfer =
          new PrefixTransfer(holder.state(), tokens, transferMillis(holder, target, tokens));
      boolean larger = best == null || transfer.tokens() > best.tokens();
      boolean sooner = best != null && tokens == best.tokens() && transfer.millis() < best.millis();
      if (larger || sooner) {
        best = transfer;
      }
    }
    return Optional.ofNullable(best);
  }

  private double transferMillis(Holder holder, UpstreamState target, int tokens) {
    double copyMillis = tokens / tokensPerMilli;
    boolean remote = !holder.state().listing().domain().equals(target.listing().domain());
    return linkWaitMillis(holder.state(), target)
        + TRANSFER_SETUP_MILLIS
        + (remote ? copyMillis * REMOTE_TRANSFER_FACTOR : copyMillis);
  }

  private double linkWaitMillis(UpstreamState source, UpstreamState target) {
    long wait = Math.max(source.linkFreeAt() - now, target.linkFreeAt() - now);
    return Math.max(0, wait) / NANOS_PER_MILLI;
  }
}
