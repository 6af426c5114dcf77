package io.jacinthquay.keeper.service;

import io.jacinthquay.wire.gen.ApplyAnswer;
import io.jacinthquay.wire.gen.ReaderReport;
import java.util.ArrayList;
import java.util.List;

/** Waits until readers have a version in force. */
public final class Confirmations {
  private final ReaderTable readers;
  private final Signal readerHeard;

  Confirmations(ReaderTable readers, Signal readerHeard) {
    this.readers = readers;
    this.readerHeard = readerHeard;
  }

  /** Takes what another keeper heard from readers. */
  public void heard(List<ReaderReport> reports) {
    readers.heard(reports);
    readerHeard.raise();
  }

  /**
   * Waits until every reachable reader has a version in force, and names those that have and those
   * that have not.
   *
   * @param version the version
   * @param waitMillis longest wait in milliseconds; 0 answers at once
   */
  public ApplyAnswer await(long version, int waitMillis) {
    readerHeard.await(() -> readers.reachableHave(version), waitMillis);
    List<String> confirmed = new ArrayList<>();
    List<String> notConfirmed = new ArrayList<>();
    readers
        .inForce()
        .forEach((reader, inForce) -> (inForce >= version ? confirmed : notConfirmed).add(reader));
    return new ApplyAnswer(version, false, confirmed, notConfirmed);
  }
}
