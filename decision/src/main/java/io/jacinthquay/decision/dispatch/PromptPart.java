package io.jacinthquay.decision.dispatch;

/**
 * A part of a prompt; parts with the same id have the same text.
 *
 * @param id identifies the text
 * @param tokens length in tokens, 0 or more
 */
public record PromptPart(long id, int tokens) {
  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code tokens} is negative
   */
  public PromptPart {
    if (tokens < 0) {
      throw new IllegalArgumentException("tokens must not be negative");
    }
  }
}
