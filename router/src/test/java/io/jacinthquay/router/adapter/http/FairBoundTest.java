package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FairBoundTest {
  private static final long MAX = 1_000;

  private final FairBound<String> bound = new FairBound<>(MAX);

  private static InetAddress address(int last) {
    try {
      return InetAddress.getByAddress(new byte[] {127, 0, 0, (byte) last});
    } catch (UnknownHostException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void giveUpOldestOfTheLargestAddress() {
    bound.hold(address(1), "sound", 300);
    bound.hold(address(2), "old", 300);
    bound.hold(address(2), "new", 300);
    assertEquals(List.of("old"), bound.hold(address(3), "next", 200));
    assertEquals(800, bound.held());
    assertEquals(1, bound.givenUp());
  }

  @Test
  void growingHeadKeepsItsAge() {
    bound.hold(address(1), "a", 100);
    bound.hold(address(1), "b", 500);
    assertEquals(List.of("a"), bound.hold(address(1), "a", 600));
  }

  @Test
  void releasedHeadsMakeRoom() {
    bound.hold(address(1), "a", 900);
    bound.release(address(1), "a");
    bound.release(address(1), "a");
    assertEquals(List.of(), bound.hold(address(1), "b", 900));
    assertEquals(900, bound.held());
  }

  @Test
  void singleHeadAboveTheBoundIsGivenUp() {
    assertEquals(List.of("a"), bound.hold(address(1), "a", MAX + 1));
    assertEquals(0, bound.held());
  }

  /** Heads that grow without end on thousands of connections, and one sound caller beside them. */
  @Test
  void floodStaysWithinTheBoundAndSparesOtherAddresses() {
    List<String> givenUp = new ArrayList<>();
    for (int connection = 0; connection < 4_000; connection++) {
      givenUp.addAll(bound.hold(address(1), "flood-" + connection, 31));
      if (connection % 10 == 0) {
        givenUp.addAll(bound.hold(address(2), "sound", 1 + connection / 10));
      }
      assertTrue(bound.held() <= MAX);
    }
    assertTrue(givenUp.stream().noneMatch("sound"::equals));
    assertEquals("flood-0", givenUp.get(0));
    assertEquals(givenUp.size(), bound.givenUp());
  }
}
