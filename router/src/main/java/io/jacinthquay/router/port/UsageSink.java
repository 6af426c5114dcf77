package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** Takes usage counters; a later larger counter replaces an earlier one. */
public interface UsageSink {
  /**
   * Delivers counters and returns when they are safe.
   *
   * @return nothing, or a failure if they may not be safe; deliver them again
   */
  Either<Failure, Void> ship(List<UsageCount> counts);
}
