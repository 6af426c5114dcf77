package io.jacinthquay.model;

import java.util.Objects;

/**
 * A failure with a numbered result code and a detail message.
 *
 * <pre>{@code
 * return Either.left(Failure.of(ResultCode.KEY_UNKNOWN, "no customer holds this key"));
 * }</pre>
 *
 * @param code the result code
 * @param detail one sentence for a human reader; must not contain a key
 */
public record Failure(ResultCode code, String detail) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
  }

  /** Returns a failure with a code and a detail. */
  public static Failure of(ResultCode code, String detail) {
    return new Failure(code, detail);
  }

  /** Returns a failure whose detail is the meaning of the code. */
  public static Failure of(ResultCode code) {
    return new Failure(code, code.meaning());
  }
}
