package io.jacinthquay.bench.capacity;

import java.util.List;
import java.util.Objects;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A quantity measured at several sizes.
 *
 * @param name the name by which a {@link Projection} refers to it
 * @param command the command that measured it
 * @param size what was varied, with its unit
 * @param quantity what was measured, with its unit
 * @param points the sizes and values, at least four
 */
public record Slope(String name, String command, String size, String quantity, List<Point> points) {
  private static final int MIN_POINTS = 4;

  /**
   * One measured point.
   *
   * @param size the size
   * @param value the value
   */
  public record Point(double size, double value) {}

  /**
   * Copies the points.
   *
   * @throws IllegalArgumentException if there are fewer than four points
   */
  public Slope {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(command, "command");
    Objects.requireNonNull(size, "size");
    Objects.requireNonNull(quantity, "quantity");
    points = List.copyOf(points);
    if (points.size() < MIN_POINTS) {
      throw new IllegalArgumentException(name + " needs " + MIN_POINTS + " or more points");
    }
  }

  /** Returns the straight line that fits the points best by least squares. */
  public Fit fit() {
    SimpleRegression line = new SimpleRegression();
    points.forEach(point -> line.addData(point.size(), point.value()));
    double largestResidual =
        points.stream()
            .mapToDouble(p -> Math.abs(p.value() - line.predict(p.size())))
            .max()
            .orElse(0);
    return new Fit(line.getSlope(), line.getIntercept(), line.getRSquare(), largestResidual);
  }

  /**
   * A straight line.
   *
   * @param perUnit growth of the value per unit of size
   * @param base value at size 0
   * @param determination share of the variance that the line explains, 0 to 1
   * @param largestResidual largest distance of a point from the line
   */
  public record Fit(double perUnit, double base, double determination, double largestResidual) {
    /** Returns the value at a size. */
    public double at(double size) {
      return base + perUnit * size;
    }
  }
}
