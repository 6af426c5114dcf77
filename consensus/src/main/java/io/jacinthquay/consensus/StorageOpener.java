package io.jacinthquay.consensus;

import io.jacinthquay.consensus.storage.LogStorage;
import java.nio.file.Path;

/** Opens the storage of a member. */
@FunctionalInterface
interface StorageOpener {
  /**
   * Opens the data folder of a member.
   *
   * @param segmentBytes size in bytes at which a new segment starts
   */
  LogStorage open(Path folder, MemberId member, long segmentBytes);
}
