package io.jacinthquay.model.policy;

import java.util.Objects;

/**
 * An error in a policy document.
 *
 * @param line the line, counted from 1; 0 if unknown
 * @param column the column, counted from 1; 0 if unknown
 * @param path the JSON pointer of the value, such as {@code /classes/0/tier}
 * @param message a description of the error
 */
public record PolicyError(int line, int column, String path, String message) {
  /**
   * Checks that the texts are present.
   *
   * @throws NullPointerException if a text is missing
   */
  public PolicyError {
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    return "line " + line + ", column " + column + ", " + path + ": " + message;
  }
}
