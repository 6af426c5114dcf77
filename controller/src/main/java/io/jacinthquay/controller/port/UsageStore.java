package io.jacinthquay.controller.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** Stores usage windows in the replicated log. */
public interface UsageStore {
  /** Returns the windows that have unsealed counts, oldest first. */
  Either<Failure, List<OpenWindow>> openWindows();

  /** Seals a window. Idempotent: sealing it again returns the same lines. */
  Either<Failure, SealedUsageWindow> seal(int shard, long startMillis, Lease lease);

  /**
   * Returns up to {@code limit} sealed windows of a shard that are not yet reported, oldest first.
   */
  Either<Failure, List<SealedUsageWindow>> unreported(int shard, int limit);

  /** Records that the platform has acknowledged a window. */
  Either<Failure, Void> markReported(SealedUsageWindow window, Lease lease);
}
