package io.jacinthquay.router.port;

import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** Asks engines how they are; both answers are late. */
public interface EngineMonitor {
  /** Returns the load of an engine. */
  Either<Failure, EngineLoad> load(VmEntry engine);

  /**
   * Returns changes of an engine's prefix cache, some of which may be missing.
   *
   * @param since sequence number of the last event known, 0 for none
   */
  Either<Failure, List<CacheEvent>> cacheEvents(VmEntry engine, long since);
}
