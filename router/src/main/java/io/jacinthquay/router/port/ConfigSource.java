package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.time.Duration;

/** Returns configuration changes from a keeper or a relay. */
public interface ConfigSource {
  /**
   * Waits for a version newer than the reader's and returns the changes up to it.
   *
   * @param position the versions that the reader has in force
   * @param wait longest time to wait if there is no newer version
   * @return the changes, or a failure if the source didn't respond
   */
  Either<Failure, ConfigUpdate> poll(ConfigPosition position, Duration wait);
}
