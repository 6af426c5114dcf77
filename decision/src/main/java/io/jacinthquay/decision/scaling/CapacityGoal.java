package io.jacinthquay.decision.scaling;

/**
 * The prompt rates that the engines of a pool must have together, in tokens per millisecond.
 *
 * @param total all engines
 * @param afterReclaim without the cheap engines of the failure domain that has most of them
 * @param afterDomainLoss without any one failure domain
 * @param regular engines that can't be reclaimed
 */
record CapacityGoal(double total, double afterReclaim, double afterDomainLoss, double regular) {
  CapacityGoal times(double factor) {
    return new CapacityGoal(
        total * factor, afterReclaim * factor, afterDomainLoss * factor, regular * factor);
  }
}
