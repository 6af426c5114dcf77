package io.jacinthquay.decision.dispatch;

/**
 * One part of a prompt; requests with the same id share its text.
 *
 * @param id names the text
 * @param tokens its length, 0 or more
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
