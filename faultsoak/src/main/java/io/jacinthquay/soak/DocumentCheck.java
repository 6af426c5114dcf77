package io.jacinthquay.soak;

import java.util.concurrent.TimeUnit;

/** What was acknowledged to an operator is not forgotten, and no older document is shown. */
final class DocumentCheck implements Check {
  /** Time after an acknowledgement in which an older document may still be read. */
  private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  @Override
  public String promise() {
    return "an acknowledged document stays";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    for (History.Read read : history.reads()) {
      long newest =
          history.acknowledged().stream()
              .filter(version -> version.atNanos() + APPLY_NANOS - read.askedNanos() < 0)
              .mapToLong(History.Acknowledged::version)
              .max()
              .orElse(-1);
      verdict.judge(
          read.version() >= newest,
          "version " + read.version() + " was read after " + newest + " was acknowledged");
    }
    return verdict;
  }
}
