package io.jacinthquay.controller.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.FencingToken;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

/** The platform's interfaces for upstream orders, usage reports, the list of VMs and prices. */
public interface Platform {
  /**
   * Sends an order.
   *
   * @param order an order that is recorded in the replicated log
   * @param fencing the fencing token under which it is sent
   * @param timeout limit for the call
   * @param mayWrite checked right before the first byte is written; false cancels the call
   * @return the body of the platform's response, or a failure; with {@link
   *     io.jacinthquay.model.Outcome#UNKNOWN} the order may have been carried out
   */
  Either<Failure, String> sendOrder(
      Order order, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite);

  /**
   * Reports a sealed usage window.
   *
   * @param window the window
   * @param fencing the fencing token under which it is sent
   * @param timeout limit for the call
   * @param mayWrite checked right before the first byte is written; false cancels the call
   * @return nothing, or a failure; {@link io.jacinthquay.model.ResultCode#ORDER_CONFLICT} if the
   *     platform holds other figures for the window
   */
  Either<Failure, Void> sendReport(
      SealedUsageWindow window, FencingToken fencing, Duration timeout, BooleanSupplier mayWrite);

  /** Returns the platform's list of VMs, which may lag behind the actual state. */
  Either<Failure, List<PlatformVm>> vms();

  /** Returns the prices of running upstreams. */
  Either<Failure, List<Price>> prices();
}
