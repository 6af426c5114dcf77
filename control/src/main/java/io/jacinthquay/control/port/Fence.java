package io.jacinthquay.control.port;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * Proves who may act, for one call.
 *
 * @param holder name of this VM
 * @param number grows with every change of the holder
 * @param holds whether the right still holds, asked just before bytes are written
 */
public record Fence(String holder, long number, BooleanSupplier holds) {
  /** Checks that all parts are present. */
  public Fence {
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(holds, "holds");
  }
}
