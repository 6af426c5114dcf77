package io.jacinthquay.controller.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** The usage windows in the replicated log. */
public interface UsageStore {
  /** Returns the windows that still hold unsealed counts, oldest first. */
  Either<Failure, List<OpenWindow>> openWindows();

  /** Seals a window; sealing it again returns the same lines. */
  Either<Failure, ClosedWindow> seal(int shard, long startMillis, Lease lease);

  /** Returns sealed windows of a shard that are not yet reported, oldest first. */
  Either<Failure, List<ClosedWindow>> unreported(int shard, int limit);

  /** Records that the platform has acknowledged a window. */
  Either<Failure, Void> markReported(ClosedWindow window, Lease lease);
}
