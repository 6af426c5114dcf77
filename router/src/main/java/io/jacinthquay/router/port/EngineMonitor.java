package io.jacinthquay.router.port;

import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** Polls engines for their load and their prefix cache events; both lag the engine's state. */
public interface EngineMonitor {
  /** Returns the last load report of an engine, or a failure if it didn't respond. */
  Either<Failure, EngineLoad> load(VmEntry engine);

  /**
   * Returns the events of an engine's prefix cache; some may be missing.
   *
   * @param since sequence number of the last known event, 0 for none
   */
  Either<Failure, List<CacheEvent>> cacheEvents(VmEntry engine, long since);
}
