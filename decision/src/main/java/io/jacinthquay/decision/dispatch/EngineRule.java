package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.routing.EngineSpec;
import java.util.Optional;

/**
 * Places requests at model engines by the prompt that is still to be read.
 *
 * <p>Answers the load of long prompts that share beginnings: a shared beginning stays at one engine
 * and moves only when reading it anew elsewhere is faster than waiting there. Long prompts keep
 * away from engines whose running streams would pause for too long meanwhile.
 */
final class EngineRule implements PlacementRule {
  /**
   * Prompt tokens that an engine reads in a millisecond beside running streams: the users' sheets
   * name 50.7 and 61.8 for reading alone, a step of decoding comes to each thousand.
   */
  private static final double TOKENS_PER_MILLI = 38;

  /**
   * Time to read what an engine may have to read once it gets a request of the highest tier, in
   * milliseconds, that request included. One whose beginning is cached finds a place for longer, so
   * that it rather waits for its engine than is read anew by another.
   */
  private static final double READ_MILLIS = 900;

  /** How much less that is for each lower tier, so that a higher one still finds a place. */
  private static final double TIER_MILLIS = 150;

  /** What may wait beside a prompt that alone takes longer; keeps engines busy between reports. */
  private static final double BESIDE_MILLIS = 100;

  /** What each request under way adds to the step that the next one waits for, in milliseconds. */
  private static final double MILLIS_PER_REQUEST = 1.2;

  /** Share of a shared beginning that its home engine is expected to hold without proof. */
  private static final double HOME_CONFIDENCE = 0.8;

  /** What bytes between failure domains weigh against time, in milliseconds. */
  private static final double REMOTE_MILLIS = 6;

  /** Share of the memory that may be in use before running requests risk preemption. */
  private static final double MEMORY_SHARE = 0.9;

  /** What a likely preemption weighs, in milliseconds. */
  private static final double PREEMPTION_MILLIS = 1_000;

  /** What each token that is read weighs beside a stream that a pause makes late, in ms. */
  private static final double MILLIS_PER_FRAGILE_TOKEN = 0.004;

  private final EngineSpec spec;
  private final ReadingPause pause;

  EngineRule(EngineSpec spec) {
    this.spec = spec;
    this.pause = new ReadingPause(spec);
  }

  private static double allowedMillis(Work work, double readMillis) {
    double allowed = READ_MILLIS - TIER_MILLIS * work.tier().value();
    return Math.max(allowed, readMillis + BESIDE_MILLIS);
  }

  /** Returns the tokens at the beginning of a prompt that an engine has, or probably has. */
  private static double cachedTokens(Work work, UpstreamState upstream, Beginning beginning) {
    double cached = upstream.prefixes().cachedTokens(work.parts());
    boolean trusted = beginning.isHome(upstream) && beginning.isUnread();
    return trusted
        ? Math.max(cached, HOME_CONFIDENCE * (work.promptTokens() - work.ownTokens()))
        : cached;
  }

  @Override
  public double cost(Work work, UpstreamState upstream, Beginning beginning, DomainId local) {
    LoadFigures load = upstream.load();
    if (load.inFlight() >= upstream.listing().slots()) {
      return UNFIT;
    }
    double backlogMillis = load.promptTokens() / TOKENS_PER_MILLI;
    double cached = cachedTokens(work, upstream, beginning);
    Optional<Transfer> transfer = beginning.transferTo(upstream, (int) cached);
    int handedOver = transfer.map(Transfer::tokens).orElse(0);
    double unread = Math.max(0, work.promptTokens() - cached - handedOver);
    double readMillis = unread / TOKENS_PER_MILLI;
    if (!pause.harms(work) && backlogMillis + readMillis > allowedMillis(work, readMillis)) {
      return UNFIT;
    }
    double cost = (load.promptTokens() + unread) / TOKENS_PER_MILLI;
    cost += transfer.map(Transfer::millis).orElse(0.0);
    cost += backlogMillis * work.fragility();
    cost += load.fragility() * unread * MILLIS_PER_FRAGILE_TOKEN;
    cost += load.inFlight() * MILLIS_PER_REQUEST;
    if (load.memoryTokens() + work.memoryTokens() > MEMORY_SHARE * spec.memoryTokens()) {
      cost += PREEMPTION_MILLIS;
    }
    return upstream.listing().domain().equals(local) ? cost : cost + REMOTE_MILLIS;
  }
}
