package io.jacinthquay.keeper.service;

import io.jacinthquay.wire.gen.ApplyAnswer;
import io.jacinthquay.wire.gen.ReaderReport;
import java.util.ArrayList;
import java.util.List;

/** Waits until readers report that a version is in force. */
public final class Confirmations {
  private final ReaderTable readers;
  private final Signal readerUpdated;

  Confirmations(ReaderTable readers, Signal readerUpdated) {
    this.readers = readers;
    this.readerUpdated = readerUpdated;
  }

  /** Records the versions in force that readers reported to another keeper. */
  public void addReports(List<ReaderReport> reports) {
    readers.recordReports(reports);
    readerUpdated.raise();
  }

  /**
   * Waits until every reachable reader has a version in force, and returns the names of the readers
   * that have it and of those that do not.
   *
   * @param version the version
   * @param waitMillis maximum wait in milliseconds; 0 returns immediately
   */
  public ApplyAnswer await(long version, int waitMillis) {
    readerUpdated.await(() -> readers.allReachableHave(version), waitMillis);
    List<String> confirmed = new ArrayList<>();
    List<String> notConfirmed = new ArrayList<>();
    readers
        .inForce()
        .forEach((reader, inForce) -> (inForce >= version ? confirmed : notConfirmed).add(reader));
    return new ApplyAnswer(version, false, confirmed, notConfirmed);
  }
}
