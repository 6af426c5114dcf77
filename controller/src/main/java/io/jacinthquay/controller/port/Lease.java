package io.jacinthquay.controller.port;

import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import java.time.Duration;
import java.util.Objects;

/**
 * One grant of a lease.
 *
 * @param name the name of the lease
 * @param fencing the fencing token, which grows with each new grant of the lease
 * @param length how long the lease lasts, counted from before the holder sent its request
 */
public record Lease(LeaseName name, FencingToken fencing, Duration length) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Lease {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(fencing, "fencing");
    Objects.requireNonNull(length, "length");
  }
}
