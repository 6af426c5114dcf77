package io.jacinthquay.bench.capacity;

import java.util.Objects;

/**
 * The value of one slope at the planned size.
 *
 * @param role the process that uses the resource
 * @param what the quantity, with its unit
 * @param mechanism how the quantity is kept low
 * @param slope the name of the slope
 * @param size the planned size in the unit of the slope
 * @param factor turns the value of the slope into the unit of the limit
 * @param limit the limit in that unit; 0 where none is given
 */
record Projection(
    String role,
    String what,
    String mechanism,
    String slope,
    double size,
    double factor,
    double limit) {
  Projection {
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(what, "what");
    Objects.requireNonNull(mechanism, "mechanism");
    Objects.requireNonNull(slope, "slope");
  }

  /** Returns the projected value, in the unit of the limit. */
  double value(Slope measured) {
    return measured.fit().at(size) * factor;
  }

  /** Returns whether the projected value is within the limit, as a text for the page. */
  String verdict(Slope measured) {
    if (limit <= 0) {
      return "no limit given";
    }
    return value(measured) <= limit ? "holds" : "does not hold";
  }
}
