package io.jacinthquay.keeper.state;

/**
 * Value of a usage counter.
 *
 * @param counted the largest amounts that were shipped
 * @param sealed the part of them that is included in sealed windows
 */
record Counter(UsageAmount counted, UsageAmount sealed) {
  /** Returns whether sealed windows include all amounts. */
  boolean isSettled() {
    return counted.equals(sealed);
  }

  UsageAmount unsealed() {
    return counted.minus(sealed);
  }
}
