package io.jacinthquay.soak;

/** Checks that an acknowledged document is not lost: no later read returns an older version. */
final class DocumentCheck implements Check {
  @Override
  public String guarantee() {
    return "an acknowledged document stays";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    VersionsInForce documents = new VersionsInForce(history);
    for (History.Read read : history.reads()) {
      long newestAcknowledged = documents.oldestAllowed(read.requestedNanos());
      verdict.judge(
          read.version() >= newestAcknowledged,
          "version "
              + read.version()
              + " was read after "
              + newestAcknowledged
              + " was acknowledged");
    }
    return verdict;
  }
}
