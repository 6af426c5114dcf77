package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class WaitingLineTest {
  private final WaitingLine<String> line = new WaitingLine<>();
  private final List<String> displaced = new ArrayList<>();

  private boolean add(String name, int tier, long giveUp) {
    return line.add(name, Works.call(tier), giveUp, displaced);
  }

  /** A burst of low tiers before one of a high tier: the high tier goes first all the same. */
  @Test
  void offerHigherTiersFirstThenEarlierArrivals() {
    add("low-1", 2, 100);
    add("low-2", 2, 100);
    add("high", 0, 100);
    List<String> served = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      line.offer(name -> served.size() < 3 && served.add(name));
    }
    assertEquals(List.of("high", "low-1", "low-2"), served);
    assertTrue(line.isEmpty());
  }

  @Test
  void stopOfferingWhereNobodyCanBeServed() {
    add("first", 1, 100);
    add("second", 1, 100);
    List<String> asked = new ArrayList<>();
    line.offer(name -> !asked.add(name));
    assertEquals(List.of("first"), asked);
    assertEquals(2, line.size());
  }

  @Test
  void turnAwayThoseWhoseTimeIsOver() {
    add("soon", 1, 10);
    add("later", 0, 20);
    assertEquals(List.of(), line.expired(9));
    assertEquals(List.of("soon"), line.expired(10));
    assertEquals(List.of("later"), line.expired(25));
  }

  /** More wait than can be served: a higher tier takes the place of the lowest and last. */
  @Test
  void displaceTheLowestWhenTooManyWait() {
    int count = 0;
    while (add("low-" + count, 2, 100)) {
      count++;
    }
    assertFalse(add("same", 2, 100));
    assertTrue(add("high", 1, 100));
    assertEquals(List.of("low-" + (count - 1)), displaced);
    assertEquals(count, line.size());
  }

  @Test
  void forgetThoseWhoLeft() {
    add("gone", 0, 100);
    line.remove("gone");
    assertTrue(line.isEmpty());
  }
}
