package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.LogFailure;
import java.nio.file.Path;

/** Creates the exception that is thrown when stored data is damaged. */
final class Corruption {
  private Corruption() {}

  static LogException of(Path file, String problem) {
    String detail =
        file
            + ": "
            + problem
            + "; synced data is damaged: empty the data folder"
            + " so that the cluster replaces the replica";
    return new LogException(LogFailure.of(LogError.STORAGE_CORRUPT, detail), null);
  }
}
