package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** Stores cumulative usage counters; a later, larger value replaces an earlier one. */
public interface UsageSink {
  /**
   * Delivers counters and returns once they are stored durably.
   *
   * @return nothing, or a failure if they may not be stored; the caller then delivers them again
   */
  Either<Failure, Void> deliver(List<UsageCount> counts);
}
