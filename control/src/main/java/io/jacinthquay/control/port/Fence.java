package io.jacinthquay.control.port;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * The right of the leader to call the platform, passed with each call.
 *
 * @param holder name of the VM that leads
 * @param number fencing token, which grows with every change of the holder
 * @param holds returns whether the lease is still held; called just before bytes are written
 */
public record Fence(String holder, long number, BooleanSupplier holds) {
  /** Checks that the holder and the check are not null. */
  public Fence {
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(holds, "holds");
  }
}
