package io.jacinthquay.decision.dispatch;

import static io.jacinthquay.decision.dispatch.Works.ENGINES;
import static io.jacinthquay.decision.dispatch.Works.LOCAL;
import static io.jacinthquay.decision.dispatch.Works.MILLI;
import static io.jacinthquay.decision.dispatch.Works.PLAIN;
import static io.jacinthquay.decision.dispatch.Works.REMOTE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.EngineSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class UpstreamBoardTest {
  private final UpstreamBoard board = new UpstreamBoard(LOCAL, 1.5, 5, new SplittableRandom(1));

  @BeforeEach
  void takePools() {
    board.pools(Map.of(ENGINES, Works.engines(6), PLAIN, Works.plain()));
  }

  private String choose(Work work, long now) {
    return board.choose(work, Set.of(), now).map(s -> s.listing().upstream().value()).orElse("-");
  }

  private Sending send(Work work, long now) {
    return board.sent(board.choose(work, Set.of(), now).orElseThrow(), work, now);
  }

  @Test
  void keepASharedBeginningAtOneEngineAtEveryRouter() {
    UpstreamBoard other = new UpstreamBoard(REMOTE, 1.5, 5, new SplittableRandom(2));
    other.pools(Map.of(ENGINES, Works.engines(6)));
    board.listed(Works.listings(ENGINES, 8), 0);
    other.listed(Works.listings(ENGINES, 8), 0);
    for (long shared = 1; shared < 50; shared++) {
      Work work = Works.prompt(1, 500, shared * 7919, 13_000, 3_000);
      String first = choose(work, 0);
      assertEquals(first, choose(work, 0));
      assertEquals(
          first, other.choose(work, Set.of(), 0).orElseThrow().listing().upstream().value());
    }
  }

  /** Many requests at once about one thing: waiting at its engine must not outlast reading anew. */
  @Test
  void leaveABusyEngineUnderAHotKey() {
    board.listed(Works.listings(ENGINES, 4), 0);
    Set<UpstreamId> used = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      used.add(send(Works.prompt(1, 500, 99, 13_000, 3_000), 0).upstream().listing().upstream());
    }
    assertTrue(used.size() > 1, "all went to " + used);
  }

  /** A hot beginning spreads over engines by transfers: it is read once, however many share it. */
  @ParameterizedTest
  @ValueSource(ints = {2, 8})
  void readASharedBeginningOnceWhereEnginesHandItOver(int engines) {
    board.pools(Map.of(ENGINES, Works.engines(6, new EngineSpec(64, 500_000, 3, 87))));
    board.listed(Works.listings(ENGINES, engines), 0);
    Work hot = Works.prompt(2, 500, 99, 13_000, 3_000);
    Sending first = send(hot, 0);
    assertEquals(Optional.empty(), first.source());
    board.begun(first, 400 * MILLI);
    long read = first.unreadTokens();
    Set<UpstreamId> used = new HashSet<>();
    for (int i = 0; i < 6 * engines; i++) {
      long now = (400 + 20 * i) * MILLI;
      board.states().forEach(state -> board.heard(state, now));
      Work next = Works.prompt(2, 500, List.of(99L, 1_000L + i), 13_000, 3_000);
      Optional<UpstreamState> place = board.choose(next, Set.of(), now);
      if (place.isPresent()) {
        Sending sending = board.sent(place.get(), next, now);
        used.add(sending.upstream().listing().upstream());
        read += sending.unreadTokens() - 3_000;
      }
    }
    assertEquals(engines, used.size());
    assertEquals(16_000, read, "the shared 13,000 tokens were read more than once");
  }

  /** An engine that waits for a transfer across failure domains answers later, not never. */
  @Test
  void takeNoEngineForSilentWhileATransferIsUnderWay() {
    board.pools(Map.of(ENGINES, Works.engines(6, new EngineSpec(64, 500_000, 3, 20))));
    board.listed(
        List.of(Works.listing("near", ENGINES, LOCAL, 0), Works.listing("far", ENGINES, REMOTE, 0)),
        0);
    Work work = Works.prompt(2, 500, 99, 13_000, 1_000);
    Sending first = send(work, 0);
    board.begun(first, 400 * MILLI);
    Set<UpstreamId> other = Set.of(first.upstream().listing().upstream());
    UpstreamState second = board.choose(work, other, 400 * MILLI).orElseThrow();
    assertTrue(board.sent(second, work, 400 * MILLI).source().isPresent());
    assertFalse(board.isSilent(second, 1_700 * MILLI), "the transfer takes 1.3 s");
    assertTrue(board.isSilent(second, 2_500 * MILLI));
  }

  /** A failure domain is emptied: nothing is moved out of its engines either. */
  @Test
  void fetchNothingFromAClosedDomain() {
    board.pools(Map.of(ENGINES, Works.engines(6, new EngineSpec(64, 500_000, 3, 87))));
    board.listed(
        List.of(Works.listing("near", ENGINES, LOCAL, 0), Works.listing("far", ENGINES, REMOTE, 0)),
        0);
    Work work = Works.prompt(2, 500, 99, 13_000, 1_000);
    UpstreamState far = board.choose(work, avoid("near"), 0).orElseThrow();
    board.begun(board.sent(far, work, 0), 400 * MILLI);
    UpstreamState near = board.choose(work, avoid("far"), 400 * MILLI).orElseThrow();
    board.closed(Set.of(REMOTE));
    assertEquals(Optional.empty(), board.sent(near, work, 400 * MILLI).source());
  }

  /** What an engine has only begun to read can't be handed over yet. */
  @Test
  void fetchOnlyWhatHasBeenRead() {
    board.pools(Map.of(ENGINES, Works.engines(6, new EngineSpec(64, 500_000, 3, 87))));
    board.listed(Works.listings(ENGINES, 2), 0);
    Work work = Works.prompt(2, 500, 99, 13_000, 3_000);
    Sending first = send(work, 0);
    Set<UpstreamId> other = Set.of(first.upstream().listing().upstream());
    UpstreamState second = board.choose(work, other, MILLI).orElseThrow();
    assertEquals(Optional.empty(), board.sent(second, work, MILLI).source());
  }

  /** Engines whose events are small bear the reading of long prompts beside chats. */
  @ParameterizedTest
  @CsvSource({"3,120,true", "6,150,true", "4,150,true", "7,200,true", "2,120,false", "3,200,false"})
  void keepEnginesForChatsOnlyWhereReadingHarmsThem(int tokens, int gapMillis, boolean harmed) {
    ReadingPause pause = new ReadingPause(new EngineSpec(64, 500_000, tokens, 0));
    assertEquals(harmed, pause.harms(Works.prompt(0, gapMillis, 5, 300, 900)));
  }

  /** Long prompts beside fragile streams: they go where nobody's pauses suffer. */
  @Test
  void keepLongPromptsOffFragileStreams() {
    board.listed(Works.listings(ENGINES, 2), 0);
    Work chat = Works.prompt(0, 120, 5, 300, 900);
    String chats = choose(chat, 0);
    String quiet = chats.equals("u0") ? "u1" : "u0";
    for (int i = 0; i < 6; i++) {
      board.begun(board.sent(board.choose(chat, avoid(quiet), 0).orElseThrow(), chat, 0), 0);
    }
    long shared = 100;
    while (!chats.equals(choose(Works.prompt(2, 500, shared, 100, 12_000), 0)) && shared < 164) {
      shared++;
    }
    assertEquals(164, shared, "a long prompt was placed beside the streams");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 9, 75})
  void keepColdUpstreamsWithinTheSharedBound(int routers) {
    board.routers(routers);
    board.listed(List.of(Works.listing("cold", ENGINES, LOCAL, 60_000)), 0);
    int sent = 0;
    int mostInASecond = 0;
    for (long now = 0; now < 10_000; now += 5) {
      if (now % 1_000 == 0) {
        mostInASecond = Math.max(mostInASecond, sent);
        sent = 0;
      }
      Work work = Works.prompt(0, 120, 5, 300, 900);
      if (board.choose(work, Set.of(), now * MILLI).isPresent()) {
        Sending sending = send(work, now * MILLI);
        board.ended(sending, false, SendEnd.UNDECIDED, now * MILLI);
        sent++;
      }
    }
    double bound = 6 * 1.5 + 5;
    assertTrue(
        mostInASecond <= Math.max(1, Math.floor(bound / routers)), mostInASecond + " in a second");
  }

  @Test
  void closeAnUpstreamThatFailsWhileItsHealthCheckIsGood() {
    board.listed(Works.listings(PLAIN, 2), 0);
    String failing = choose(Works.call(0), 0);
    long now = 0;
    for (int i = 0; i < 3; i++) {
      Sending sending =
          board.sent(
              board.choose(Works.call(0), avoid(failing), now).orElseThrow(), Works.call(0), now);
      board.ended(sending, false, SendEnd.FAILED, now);
      now += MILLI;
    }
    String closed = failing.equals("u0") ? "u1" : "u0";
    assertNotEquals(closed, choose(Works.call(0), now));
    assertEquals(closed, choose(Works.call(0), now + 600 * MILLI), "it is tried again later");
  }

  private static Set<UpstreamId> avoid(String name) {
    return Set.of(new UpstreamId(name));
  }

  /** An upstream goes dark with requests under way: it gets nothing more until it is heard. */
  @Test
  void sendNothingToASilentUpstream() {
    board.listed(Works.listings(ENGINES, 2), 0);
    Work work = Works.prompt(0, 120, 5, 300, 900);
    Sending sending = send(work, 0);
    String silent = sending.upstream().listing().upstream().value();
    Set<UpstreamId> other = avoid(silent.equals("u0") ? "u1" : "u0");
    assertTrue(board.choose(work, other, 300 * MILLI).isPresent());
    assertTrue(board.choose(work, other, 700 * MILLI).isEmpty());
    board.heard(sending.upstream(), 800 * MILLI);
    assertTrue(board.choose(work, other, 900 * MILLI).isPresent());
  }

  /** A failure domain is cut off while the router's own is busier: few requests run into it. */
  @ParameterizedTest
  @ValueSource(ints = {12, 24})
  void keepOffADomainThatIsCutOff(int upstreams) {
    List<Listing> all = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      all.add(Works.listing("near" + i, ENGINES, LOCAL, 0));
      all.add(Works.listing("far" + i, ENGINES, REMOTE, 0));
    }
    board.listed(all, 0);
    int wasted = 0;
    for (int i = 0; i < 400; i++) {
      long now = i * 10 * MILLI;
      Work work = Works.prompt(1, 500, 1_000 + 10L * i, 100, 3_000);
      Sending sending = send(work, now);
      if (sending.upstream().listing().domain().equals(REMOTE)) {
        wasted++;
        board.ended(sending, false, SendEnd.UNREACHABLE, now + 250 * MILLI);
      } else {
        board.heard(sending.upstream(), now);
        board.begun(sending, now);
      }
    }
    assertTrue(wasted <= 2 + 4, wasted + " requests ran into the cut within 4 s");
    UpstreamState far = board.states().stream().filter(UpstreamBoardTest::isFar).findAny().get();
    long healed = 20_000 * MILLI;
    board.heard(far, healed);
    UpstreamState next =
        board.choose(Works.prompt(1, 500, 90_000, 100, 3_000), Set.of(), healed).orElseThrow();
    assertTrue(isFar(next), "the domain is used again once it was heard");
  }

  /** A domain that is cut off and taken out: nothing outside is reached, nothing inside may be. */
  @Test
  void reachNothingWhereTheOwnDomainIsOutAndOthersAreSilent() {
    List<Listing> listings = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      listings.add(Works.listing("near-" + i, ENGINES, LOCAL, 0));
      listings.add(Works.listing("far-" + i, ENGINES, REMOTE, 0));
    }
    board.listed(listings, 0);
    board.closed(Set.of(LOCAL));
    assertTrue(board.reachesAny());
    Set<UpstreamId> tried = new HashSet<>();
    for (int i = 0; i < 2; i++) {
      Work work = Works.prompt(1, 500, 70_000 + i, 100, 3_000);
      UpstreamState far = board.choose(work, tried, 0).orElseThrow();
      tried.add(far.listing().upstream());
      assertTrue(board.reachesAny());
      board.ended(board.sent(far, work, 0), false, SendEnd.UNREACHABLE, 250 * MILLI);
    }
    assertFalse(board.reachesAny());
    board.heard(board.states().stream().filter(UpstreamBoardTest::isFar).findAny().get(), 0);
    assertTrue(board.reachesAny());
  }

  private static boolean isFar(UpstreamState state) {
    return state.listing().domain().equals(REMOTE);
  }

  /** Chats and long prompts at once: no engine reads a long prompt beside running chats. */
  @ParameterizedTest
  @ValueSource(ints = {6, 12, 40})
  void keepChatsAndLongPromptsApart(int engines) {
    board.listed(Works.listings(ENGINES, engines), 0);
    Set<UpstreamId> chats = new HashSet<>();
    Set<UpstreamId> prompts = new HashSet<>();
    for (int i = 0; i < 2 * engines; i++) {
      long now = i * 300 * MILLI;
      Work chat = Works.prompt(0, 120, 5 + i, 300, 900);
      Sending talking = send(chat, now);
      board.heard(talking.upstream(), now);
      board.begun(talking, now);
      chats.add(talking.upstream().listing().upstream());
      Sending reading = send(Works.prompt(2, 500, 1_000 + 10L * i, 13_000, 3_700), now);
      board.heard(reading.upstream(), now);
      board.ended(reading, false, SendEnd.SUCCEEDED, now);
      prompts.add(reading.upstream().listing().upstream());
      if (i >= engines / 2) {
        board.ended(talking, true, SendEnd.SUCCEEDED, now);
      }
    }
    Set<UpstreamId> both = new HashSet<>(chats);
    both.retainAll(prompts);
    assertEquals(Set.of(), both);
    assertTrue(prompts.size() > engines / 3, "few engines read: " + prompts.size());
  }

  /** A burst of long prompts of the lowest tier takes every place it can get: others pass it. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 12})
  void leavePlacesToHigherTiersInABurst(int engines) {
    board.listed(Works.listings(ENGINES, engines), 0);
    long shared = 1_000;
    while (board.choose(Works.prompt(2, 500, shared, 13_000, 4_000), Set.of(), 0).isPresent()) {
      send(Works.prompt(2, 500, shared, 13_000, 4_000), 0);
      shared += 10;
    }
    assertTrue(board.choose(Works.prompt(1, 200, 7, 6_000, 3_000), Set.of(), 0).isPresent());
    for (int i = 0; i < 10 * engines; i++) {
      Work chat = Works.prompt(0, 120, 50_000 + 10L * i, 300, 900);
      assertTrue(board.choose(chat, Set.of(), 0).isPresent(), "chat " + i + " found no place");
      send(chat, 0);
    }
  }

  /** A burst of long prompts: they wait at the router while a short one of a higher tier passes. */
  @Test
  void holdBackLowTiersWhileEnginesReadTheirBacklog() {
    board.listed(Works.listings(ENGINES, 1), 0);
    long shared = 1_000;
    while (board.choose(Works.prompt(2, 500, shared, 13_000, 4_000), Set.of(), 0).isPresent()) {
      send(Works.prompt(2, 500, shared, 13_000, 4_000), 0);
      shared += 10;
    }
    assertTrue(shared <= 1_050, "the engine got " + (shared - 1_000) / 10 + " long prompts");
    long waiting = board.states().iterator().next().load().promptTokens();
    assertTrue(waiting >= 12_000, "the engine has less than 0.3 s to read: " + waiting);
  }

  @Test
  void sendNothingToDrainingOrClosedUpstreams() {
    Listing open = Works.listing("open", PLAIN, LOCAL, 0);
    Listing draining =
        new Listing(new UpstreamId("draining"), PLAIN, LOCAL, open.address(), true, false, 2, 0);
    board.listed(List.of(draining, Works.listing("far", PLAIN, REMOTE, 0)), 0);
    assertEquals("far", choose(Works.call(0), 0));
    board.closed(Set.of(REMOTE));
    assertEquals(Optional.empty(), board.choose(Works.call(0), Set.of(), 0));
    assertFalse(board.isServed(PLAIN));
  }

  @Test
  void sendNoMoreThanThereArePlaces() {
    board.listed(Works.listings(PLAIN, 1), 0);
    send(Works.call(0), 0);
    Sending second = send(Works.call(0), 0);
    assertEquals("-", choose(Works.call(0), 0));
    board.ended(second, true, SendEnd.SUCCEEDED, 0);
    assertEquals("u0", choose(Works.call(0), 0));
  }
}
