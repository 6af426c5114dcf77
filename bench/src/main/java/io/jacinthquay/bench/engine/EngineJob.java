package io.jacinthquay.bench.engine;

import io.jacinthquay.decision.placement.PromptPrefix;

/** One request on an engine. */
public final class EngineJob {
  /** Hears what becomes of a job. */
  public interface Listener {
    /** Hears of the first token and how many prompt tokens came from the cache. */
    void firstToken(int cachedTokens);

    /** Hears of each further token. */
    void token();

    /** Hears that the last token came. */
    void completed();

    /** Hears that the engine failed. */
    void broken();
  }

  final PromptPrefix prefix;
  final int promptTokens;
  final int outputTokens;
  final int priority;
  final Listener listener;

  int cachedTokens;
  int promptLeft;
  int produced;
  long workedTokens;
  boolean started;

  /**
   * Returns a job.
   *
   * @param prefix the prompt in blocks
   * @param promptTokens tokens of the prompt, those of an earlier attempt's answer included
   * @param outputTokens tokens that the answer will have, at least 1
   * @param priority lower runs first
   * @param listener hears what becomes of it
   */
  public EngineJob(
      PromptPrefix prefix, int promptTokens, int outputTokens, int priority, Listener listener) {
    this.prefix = prefix;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.priority = priority;
    this.listener = listener;
  }

  /** Returns the prompt and output tokens that the engine has computed for it. */
  public long workedTokens() {
    return workedTokens;
  }
}
