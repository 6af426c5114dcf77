package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.LogFailure;
import java.nio.file.Path;

/** Builds the refusal to start on damaged data. */
final class Corruption {
  private Corruption() {}

  static LogException of(Path file, String problem) {
    String detail =
        file
            + ": "
            + problem
            + "; synced data is damaged, so empty the data folder and let the member be replaced";
    return new LogException(LogFailure.of(LogError.STORAGE_CORRUPT, detail), null);
  }
}
