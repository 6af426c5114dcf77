package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RequestQueueTest {
  private final RequestQueue<String> queue = new RequestQueue<>();
  private final List<String> displaced = new ArrayList<>();

  private boolean add(String name, int tier, long expiry) {
    return queue.add(name, TestRequests.call(tier), expiry, displaced);
  }

  /** Requests of a low tier arrive before one of a high tier: the high tier still goes first. */
  @Test
  void offerHigherTiersFirstThenEarlierArrivals() {
    add("low-1", 2, 100);
    add("low-2", 2, 100);
    add("high", 0, 100);
    List<String> served = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      queue.offer(name -> served.size() < 3 && served.add(name));
    }
    assertEquals(List.of("high", "low-1", "low-2"), served);
    assertTrue(queue.isEmpty());
  }

  @Test
  void stopOfferingWhenTheFirstRequestDeclines() {
    add("first", 1, 100);
    add("second", 1, 100);
    List<String> asked = new ArrayList<>();
    queue.offer(name -> !asked.add(name));
    assertEquals(List.of("first"), asked);
    assertEquals(2, queue.size());
  }

  @Test
  void removeExpiredRequests() {
    add("soon", 1, 10);
    add("later", 0, 20);
    assertEquals(List.of(), queue.expired(9));
    assertEquals(List.of("soon"), queue.expired(10));
    assertEquals(List.of("later"), queue.expired(25));
  }

  /** The queue is full: a request of a higher tier replaces the newest one of the lowest tier. */
  @Test
  void displaceTheLowestWhenFull() {
    int count = 0;
    while (add("low-" + count, 2, 100)) {
      count++;
    }
    assertFalse(add("same", 2, 100));
    assertTrue(add("high", 1, 100));
    assertEquals(List.of("low-" + (count - 1)), displaced);
    assertEquals(count, queue.size());
  }

  @Test
  void removeDisconnectedRequests() {
    add("gone", 0, 100);
    queue.remove("gone");
    assertTrue(queue.isEmpty());
  }
}
