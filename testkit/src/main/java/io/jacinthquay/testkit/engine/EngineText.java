package io.jacinthquay.testkit.engine;

/** The text that fake engines generate; token number n is the same on every engine. */
public final class EngineText {
  private EngineText() {}

  /** Returns the text of one token. */
  public static String token(int number) {
    return "w" + number + " ";
  }

  /** Returns the text of the tokens {@code from} (inclusive) to {@code to} (exclusive). */
  public static String tokens(int from, int to) {
    StringBuilder text = new StringBuilder();
    for (int number = from; number < to; number++) {
      text.append(token(number));
    }
    return text.toString();
  }
}
