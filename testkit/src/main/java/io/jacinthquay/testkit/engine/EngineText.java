package io.jacinthquay.testkit.engine;

/** The text that every fake engine gives: token number n is the same on all of them. */
public final class EngineText {
  private EngineText() {}

  /** Returns the text of one token. */
  public static String token(int number) {
    return "w" + number + " ";
  }

  /** Returns the text of the tokens from one number up to another, the latter not included. */
  public static String tokens(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int number = from; number < to; number++) {
      text.append(token(number));
    }
    return text.toString();
  }
}
