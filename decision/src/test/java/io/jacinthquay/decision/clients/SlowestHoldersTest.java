package io.jacinthquay.decision.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

final class SlowestHoldersTest {
  private static final int WHOLE = 1_000;
  private final SlowestHolders holders = new SlowestHolders(0.5);

  private static ClientHolding<String> holding(
      String name, String peer, long held, long idleMillis, double rate) {
    return new ClientHolding<>(name, peer, held, idleMillis, rate);
  }

  private List<String> chosen(long needed, List<ClientHolding<String>> holdings) {
    return holders.choose(holdings, WHOLE, needed).stream().map(ClientHolding::connection).toList();
  }

  /** Guards against closing ordinary clients for the bytes of stalled ones. */
  @Test
  void stalledConnectionsGoBeforeSlowOnesAndTheseBeforeFastOnes() {
    List<ClientHolding<String>> holdings =
        List.of(
            holding("fast", "a", 300, 3, 90_000),
            holding("trickle", "a", 300, 90, 10),
            holding("stalled", "a", 300, 4_000, 500_000),
            holding("older", "a", 100, 9_000, 500_000));
    assertEquals(List.of("older"), chosen(50, holdings));
    assertEquals(List.of("older", "stalled", "trickle"), chosen(700, holdings));
  }

  /** Guards against one address that takes the memory of all others by sending faster. */
  @Test
  void addressAboveItsShareGoesFirst() {
    List<ClientHolding<String>> holdings =
        List.of(
            holding("one", "a", 400, 3, 90_000),
            holding("two", "a", 400, 3, 90_001),
            holding("slow", "b", 200, 900, 10));
    assertEquals(List.of("one"), chosen(300, holdings));
    assertEquals(List.of("one", "slow"), chosen(600, holdings));
  }

  /** Guards against closing connections of addresses within their share for a further one. */
  @Test
  void onlyAddressesAboveTheirShareAreLimited() {
    List<ClientHolding<String>> holdings =
        List.of(
            holding("one", "a", 400, 3, 1),
            holding("two", "a", 200, 3, 2),
            holding("other", "b", 400, 9_000, 0));
    List<String> names =
        holders.chooseAboveShare(holdings, WHOLE, 900).stream()
            .map(ClientHolding::connection)
            .toList();
    assertEquals(List.of("one"), names);
  }

  /** Guards against closing connections that free nothing. */
  @Test
  void connectionsThatHoldNothingAreKept() {
    assertEquals(List.of(), chosen(10, List.of(holding("none", "a", 0, 9_000, 0))));
  }
}
