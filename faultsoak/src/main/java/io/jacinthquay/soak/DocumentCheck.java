package io.jacinthquay.soak;

/** What was acknowledged to an operator is not forgotten, and no older document is shown. */
final class DocumentCheck implements Check {
  @Override
  public String promise() {
    return "an acknowledged document stays";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    InForce documents = new InForce(history);
    for (History.Read read : history.reads()) {
      long newest = documents.least(read.askedNanos());
      verdict.judge(
          read.version() >= newest,
          "version " + read.version() + " was read after " + newest + " was acknowledged");
    }
    return verdict;
  }
}
