package io.jacinthquay.controller.port;

import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import java.time.Duration;
import java.util.Objects;

/**
 * A lease as granted.
 *
 * @param name the lease
 * @param fencing orders this grant among all grants of the lease
 * @param length its length, counted from before the holder asked
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
