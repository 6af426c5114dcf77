package io.jacinthquay.controller.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

/** The platform's interfaces for upstream orders, usage reports and the list of VMs. */
public interface Platform {
  /**
   * Sends an order.
   *
   * @param order the recorded order
   * @param fencing the fencing number under which it is sent
   * @param timeout limit for the call
   * @param mayWrite asked right before the first byte
   * @return the platform's answer body, or a failure; with {@link
   *     io.jacinthquay.model.Outcome#UNKNOWN} the order may have had its effect
   */
  Either<Failure, String> order(
      Order order, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite);

  /**
   * Reports a sealed window.
   *
   * @return nothing, or a failure; {@link io.jacinthquay.model.ResultCode#ORDER_CONFLICT} if the
   *     platform holds other figures for the window
   */
  Either<Failure, Void> report(
      ClosedWindow window, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite);

  /** Returns the platform's list of VMs, which lags. */
  Either<Failure, List<PlatformVm>> vms();

  /** Returns the prices of running upstreams. */
  Either<Failure, List<Price>> prices();
}
