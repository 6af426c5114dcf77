package io.jacinthquay.consensus;

import io.jacinthquay.consensus.storage.LogStorage;
import java.nio.file.Path;

/** Opens the storage of a member. */
@FunctionalInterface
interface StorageOpener {
  /** Opens a folder with a segment size in bytes. */
  LogStorage open(Path folder, MemberId member, long segmentBytes);
}
