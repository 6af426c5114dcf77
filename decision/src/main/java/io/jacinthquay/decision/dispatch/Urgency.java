package io.jacinthquay.decision.dispatch;

/**
 * The order in which an engine takes requests that wait there.
 *
 * <p>Answers the load of short chats behind long prompts of the same tier: tiers come first, and
 * within a tier those whose first token is due sooner, since a chat costs a long prompt a few
 * milliseconds and a long prompt costs a chat its target.
 */
final class Urgency {
  /** Steps within a tier. */
  private static final int STEPS = 3;

  /** Largest target of the first step, in milliseconds: what people take for an instant answer. */
  private static final int AT_ONCE_MILLIS = 400;

  /** Largest target of the second step, in milliseconds: what people wait for without leaving. */
  private static final int SOON_MILLIS = 1_000;

  private Urgency() {}

  /** Returns the rank of a request; 0 is taken first, those of a higher tier always before. */
  static int of(Work work) {
    int step = 0;
    if (work.targetMillis() > AT_ONCE_MILLIS) {
      step = work.targetMillis() > SOON_MILLIS ? 2 : 1;
    }
    return STEPS * work.tier().value() + step;
  }
}
