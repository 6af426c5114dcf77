package io.jacinthquay.decision.count;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SlidingWindowCounterTest {
  /** Compares with a list of all events; a step leaves the window as a whole. */
  @Property(tries = 500, seed = "20261204")
  void countsLikeAListOfEvents(
      @ForAll @IntRange(min = 1, max = 8) int steps,
      @ForAll @LongRange(min = 1, max = 50) long length,
      @ForAll @LongRange(min = -1_000, max = 1_000) long start,
      @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 120) Integer> gaps) {
    SlidingWindowCounter counter = new SlidingWindowCounter(steps, length);
    List<Long> events = new ArrayList<>();
    long now = start;
    for (int gap : gaps) {
      now += gap;
      counter.add(now);
      events.add(Math.floorDiv(now, length));
      long newest = Math.floorDiv(now, length);
      assertEquals(events.stream().filter(step -> step > newest - steps).count(), counter.sum(now));
      int skipped = gap % steps;
      assertEquals(
          events.stream().filter(step -> step > newest - steps && step <= newest - skipped).count(),
          counter.sum(now, skipped, steps - skipped));
    }
  }

  @ParameterizedTest
  @CsvSource({"-1,1", "0,-1", "0,5", "2,3"})
  void rejectsAPartBeyondTheWindow(int skipped, int steps) {
    SlidingWindowCounter counter = new SlidingWindowCounter(4, 1);
    assertThrows(IllegalArgumentException.class, () -> counter.sum(0, skipped, steps));
  }

  @ParameterizedTest
  @CsvSource({"0,1", "1,0", "-1,5"})
  void rejectsAnEmptyWindow(int steps, long length) {
    assertThrows(IllegalArgumentException.class, () -> new SlidingWindowCounter(steps, length));
  }
}
