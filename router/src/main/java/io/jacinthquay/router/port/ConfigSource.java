package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.time.Duration;

/** Delivers configuration changes from a keeper or a relay. */
public interface ConfigSource {
  /**
   * Waits for a version newer than the reader's and returns what leads to it.
   *
   * @param position what the reader has in force
   * @param wait longest time to wait where there is nothing newer
   * @return the changes, or a failure if no source answered
   */
  Either<Failure, ConfigUpdate> poll(ConfigPosition position, Duration wait);
}
