package io.jacinthquay.bench.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jacinthquay.bench.capacity.Slope.Point;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class CapacityPageTest {
  private static final Path DOCS = Path.of("..", "docs");

  private static Slope slope(Point... points) {
    return new Slope("s", "c", "n", "v", List.of(points));
  }

  @Test
  void pageMatchesTheMeasuredSlopes() throws IOException {
    List<Slope> slopes = CapacityCommand.read(DOCS.resolve("capacity/slopes.json"));
    String text = Files.readString(DOCS.resolve("capacity/text.md"));
    assertEquals(Files.readString(DOCS.resolve("CAPACITY.md")), CapacityPage.write(slopes, text));
  }

  @Test
  void fitReproducesPointsOnAStraightLine() {
    Slope.Fit fit =
        slope(new Point(1, 5), new Point(2, 7), new Point(3, 9), new Point(4, 11)).fit();
    assertEquals(2, fit.perUnit(), 1e-9);
    assertEquals(3, fit.base(), 1e-9);
    assertEquals(203, fit.at(100), 1e-9);
    assertEquals(0, fit.largestResidual(), 1e-9);
  }

  @Test
  void fewerThanFourPointsAreRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> slope(new Point(1, 5), new Point(2, 7), new Point(3, 9)));
  }
}
