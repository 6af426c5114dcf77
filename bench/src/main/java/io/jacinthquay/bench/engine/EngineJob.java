package io.jacinthquay.bench.engine;

import io.jacinthquay.decision.placement.PromptPrefix;

/** One request on a simulated engine. */
public final class EngineJob {
  /** Receives the progress and the end of a job. */
  public interface Listener {
    /**
     * Called when the first token is produced.
     *
     * @param cachedTokens prompt tokens that came from the prefix cache
     */
    void onFirstToken(int cachedTokens);

    /** Called for each token after the first. */
    void onToken();

    /** Called after the last token. */
    void onCompleted();

    /** Called when the engine has failed. */
    void onFailed();
  }

  final PromptPrefix prefix;
  final int promptTokens;
  final int outputTokens;
  final int priority;
  final Listener listener;

  int cachedTokens;
  int remainingPromptTokens;
  int producedTokens;
  long computedTokens;
  boolean prefilling;

  /**
   * Returns a job.
   *
   * @param prefix the prompt in blocks
   * @param promptTokens tokens of the prompt, including output tokens of earlier attempts
   * @param outputTokens tokens of the response, at least 1
   * @param priority priority; lower values run first
   * @param listener receives the progress and the end
   */
  public EngineJob(
      PromptPrefix prefix, int promptTokens, int outputTokens, int priority, Listener listener) {
    this.prefix = prefix;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.priority = priority;
    this.listener = listener;
  }

  /** Returns the prompt and output tokens that the engine has computed for this job. */
  public long computedTokens() {
    return computedTokens;
  }
}
