package io.jacinthquay.keeper.state;

/**
 * One usage counter.
 *
 * @param counted the largest amounts heard
 * @param sealed the part of them that stands in sealed windows
 */
record Counter(Amount counted, Amount sealed) {
  boolean isSettled() {
    return counted.equals(sealed);
  }

  Amount unsealed() {
    return counted.minus(sealed);
  }
}
