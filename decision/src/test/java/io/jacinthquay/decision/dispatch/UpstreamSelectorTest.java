package io.jacinthquay.decision.dispatch;

import static io.jacinthquay.decision.dispatch.TestRequests.ENGINES;
import static io.jacinthquay.decision.dispatch.TestRequests.LOCAL;
import static io.jacinthquay.decision.dispatch.TestRequests.MILLI;
import static io.jacinthquay.decision.dispatch.TestRequests.PLAIN;
import static io.jacinthquay.decision.dispatch.TestRequests.REMOTE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.SoftwareVersion;
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

final class UpstreamSelectorTest {
  private final UpstreamSelector selector =
      new UpstreamSelector(LOCAL, 1.5, 5, new SplittableRandom(1));

  @BeforeEach
  void setPools() {
    selector.setPools(Map.of(ENGINES, TestRequests.engines(6), PLAIN, TestRequests.plain()));
  }

  private String choose(PoolRequest work, long now) {
    return selector
        .choose(work, Set.of(), now)
        .map(s -> s.listing().upstream().value())
        .orElse("-");
  }

  private SentRequest send(PoolRequest work, long now) {
    return selector.sent(selector.choose(work, Set.of(), now).orElseThrow(), work, now);
  }

  @Test
  void selectTheSameEngineForASharedPrefixAtEveryRouter() {
    UpstreamSelector other = new UpstreamSelector(REMOTE, 1.5, 5, new SplittableRandom(2));
    other.setPools(Map.of(ENGINES, TestRequests.engines(6)));
    selector.setListings(TestRequests.listings(ENGINES, 8), 0);
    other.setListings(TestRequests.listings(ENGINES, 8), 0);
    for (long shared = 1; shared < 50; shared++) {
      PoolRequest work = TestRequests.prompt(1, 500, shared * 7919, 13_000, 3_000);
      String first = choose(work, 0);
      assertEquals(first, choose(work, 0));
      assertEquals(
          first, other.choose(work, Set.of(), 0).orElseThrow().listing().upstream().value());
    }
  }

  /**
   * Many concurrent requests share a prefix: waiting for its engine must not take longer than
   * prefill on another one.
   */
  @Test
  void useOtherEnginesForAHotPrefix() {
    selector.setListings(TestRequests.listings(ENGINES, 4), 0);
    Set<UpstreamId> used = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      used.add(
          send(TestRequests.prompt(1, 500, 99, 13_000, 3_000), 0).upstream().listing().upstream());
    }
    assertTrue(used.size() > 1, "all requests went to " + used);
  }

  /**
   * A hot prefix spreads over engines by transfers: it is read once, however many requests share
   * it.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 8})
  void readASharedPrefixOnceWhereEnginesTransferIt(int engines) {
    selector.setPools(Map.of(ENGINES, TestRequests.engines(6, new EngineSpec(64, 500_000, 3, 87))));
    selector.setListings(TestRequests.listings(ENGINES, engines), 0);
    PoolRequest hot = TestRequests.prompt(2, 500, 99, 13_000, 3_000);
    SentRequest first = send(hot, 0);
    assertEquals(Optional.empty(), first.source());
    selector.recordPrefill(first, 400 * MILLI);
    long read = first.unreadTokens();
    Set<UpstreamId> used = new HashSet<>();
    for (int i = 0; i < 6 * engines; i++) {
      long now = (400 + 20 * i) * MILLI;
      selector.states().forEach(state -> selector.recordActivity(state, now));
      PoolRequest next = TestRequests.prompt(2, 500, List.of(99L, 1_000L + i), 13_000, 3_000);
      Optional<UpstreamState> place = selector.choose(next, Set.of(), now);
      if (place.isPresent()) {
        SentRequest sending = selector.sent(place.get(), next, now);
        used.add(sending.upstream().listing().upstream());
        read += sending.unreadTokens() - 3_000;
      }
    }
    assertEquals(engines, used.size());
    assertEquals(16_000, read, "the shared 13,000 tokens were read more than once");
  }

  /** An engine that waits for a transfer across failure domains answers late but isn't silent. */
  @Test
  void treatNoEngineAsSilentDuringATransfer() {
    selector.setPools(Map.of(ENGINES, TestRequests.engines(6, new EngineSpec(64, 500_000, 3, 20))));
    selector.setListings(
        List.of(
            TestRequests.listing("near", ENGINES, LOCAL, 0),
            TestRequests.listing("far", ENGINES, REMOTE, 0)),
        0);
    PoolRequest work = TestRequests.prompt(2, 500, 99, 13_000, 1_000);
    SentRequest first = send(work, 0);
    selector.recordPrefill(first, 400 * MILLI);
    Set<UpstreamId> other = Set.of(first.upstream().listing().upstream());
    UpstreamState second = selector.choose(work, other, 400 * MILLI).orElseThrow();
    assertTrue(selector.sent(second, work, 400 * MILLI).source().isPresent());
    assertFalse(selector.isSilent(second, 1_700 * MILLI), "the transfer takes 1.3 s");
    assertTrue(selector.isSilent(second, 2_500 * MILLI));
  }

  /** A failure domain is closed: its engines are no source of transfers either. */
  @Test
  void transferNothingFromAClosedDomain() {
    selector.setPools(Map.of(ENGINES, TestRequests.engines(6, new EngineSpec(64, 500_000, 3, 87))));
    selector.setListings(
        List.of(
            TestRequests.listing("near", ENGINES, LOCAL, 0),
            TestRequests.listing("far", ENGINES, REMOTE, 0)),
        0);
    PoolRequest work = TestRequests.prompt(2, 500, 99, 13_000, 1_000);
    UpstreamState far = selector.choose(work, avoid("near"), 0).orElseThrow();
    selector.recordPrefill(selector.sent(far, work, 0), 400 * MILLI);
    UpstreamState near = selector.choose(work, avoid("far"), 400 * MILLI).orElseThrow();
    selector.setClosedDomains(Set.of(REMOTE));
    assertEquals(Optional.empty(), selector.sent(near, work, 400 * MILLI).source());
  }

  /** A prefix whose prefill has not ended can't be transferred yet. */
  @Test
  void transferOnlyWhatHasBeenRead() {
    selector.setPools(Map.of(ENGINES, TestRequests.engines(6, new EngineSpec(64, 500_000, 3, 87))));
    selector.setListings(TestRequests.listings(ENGINES, 2), 0);
    PoolRequest work = TestRequests.prompt(2, 500, 99, 13_000, 3_000);
    SentRequest first = send(work, 0);
    Set<UpstreamId> other = Set.of(first.upstream().listing().upstream());
    UpstreamState second = selector.choose(work, other, MILLI).orElseThrow();
    assertEquals(Optional.empty(), selector.sent(second, work, MILLI).source());
  }

  /** Where events hold few tokens, chats stay on target beside the prefill of long prompts. */
  @ParameterizedTest
  @CsvSource({"3,120,true", "6,150,true", "4,150,true", "7,200,true", "2,120,false", "3,200,false"})
  void reserveEnginesOnlyWherePrefillDelaysChats(int tokens, int gapMillis, boolean delayed) {
    PrefillPause pause = new PrefillPause(new EngineSpec(64, 500_000, tokens, 0));
    assertEquals(delayed, pause.exceedsTarget(TestRequests.prompt(0, gapMillis, 5, 300, 900)));
  }

  /** Long prompts go to an engine without pause-sensitive streams. */
  @Test
  void keepLongPromptsOffEnginesWithPauseSensitiveStreams() {
    selector.setListings(TestRequests.listings(ENGINES, 2), 0);
    PoolRequest chat = TestRequests.prompt(0, 120, 5, 300, 900);
    String chats = choose(chat, 0);
    String quiet = chats.equals("u0") ? "u1" : "u0";
    for (int i = 0; i < 6; i++) {
      selector.recordPrefill(
          selector.sent(selector.choose(chat, avoid(quiet), 0).orElseThrow(), chat, 0), 0);
    }
    long shared = 100;
    while (!chats.equals(choose(TestRequests.prompt(2, 500, shared, 100, 12_000), 0))
        && shared < 164) {
      shared++;
    }
    assertEquals(164, shared, "a long prompt was placed on the engine of the streams");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 9, 75})
  void keepColdUpstreamsWithinTheSharedRateLimit(int routers) {
    selector.setRouterCount(routers);
    selector.setListings(List.of(TestRequests.listing("cold", ENGINES, LOCAL, 60_000)), 0);
    int sent = 0;
    int maxPerSecond = 0;
    for (long now = 0; now < 10_000; now += 5) {
      if (now % 1_000 == 0) {
        maxPerSecond = Math.max(maxPerSecond, sent);
        sent = 0;
      }
      PoolRequest work = TestRequests.prompt(0, 120, 5, 300, 900);
      if (selector.choose(work, Set.of(), now * MILLI).isPresent()) {
        SentRequest sending = send(work, now * MILLI);
        selector.recordEnd(sending, false, SendOutcome.UNDECIDED, now * MILLI);
        sent++;
      }
    }
    double bound = 6 * 1.5 + 5;
    assertTrue(
        maxPerSecond <= Math.max(1, Math.floor(bound / routers)), maxPerSecond + " in a second");
  }

  @Test
  void blockAnUpstreamThatFailsWhileItsHealthCheckPasses() {
    selector.setListings(TestRequests.listings(PLAIN, 2), 0);
    String failing = choose(TestRequests.call(0), 0);
    long now = 0;
    for (int i = 0; i < 3; i++) {
      SentRequest sending =
          selector.sent(
              selector.choose(TestRequests.call(0), avoid(failing), now).orElseThrow(),
              TestRequests.call(0),
              now);
      selector.recordEnd(sending, false, SendOutcome.FAILED, now);
      now += MILLI;
    }
    String closed = failing.equals("u0") ? "u1" : "u0";
    assertNotEquals(closed, choose(TestRequests.call(0), now));
    assertEquals(closed, choose(TestRequests.call(0), now + 600 * MILLI), "it is probed later");
  }

  private static Set<UpstreamId> avoid(String name) {
    return Set.of(new UpstreamId(name));
  }

  /** An upstream with requests in flight stops responding: it gets no more until it responds. */
  @Test
  void avoidASilentUpstream() {
    selector.setListings(TestRequests.listings(ENGINES, 2), 0);
    PoolRequest work = TestRequests.prompt(0, 120, 5, 300, 900);
    SentRequest sending = send(work, 0);
    String silent = sending.upstream().listing().upstream().value();
    Set<UpstreamId> other = avoid(silent.equals("u0") ? "u1" : "u0");
    assertTrue(selector.choose(work, other, 300 * MILLI).isPresent());
    assertTrue(selector.choose(work, other, 700 * MILLI).isEmpty());
    selector.recordActivity(sending.upstream(), 800 * MILLI);
    assertTrue(selector.choose(work, other, 900 * MILLI).isPresent());
  }

  /**
   * A remote failure domain is partitioned while the local one is busier: few requests are sent to
   * it.
   */
  @ParameterizedTest
  @ValueSource(ints = {12, 24})
  void avoidAnUnreachableDomain(int upstreams) {
    List<UpstreamListing> all = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      all.add(TestRequests.listing("near" + i, ENGINES, LOCAL, 0));
      all.add(TestRequests.listing("far" + i, ENGINES, REMOTE, 0));
    }
    selector.setListings(all, 0);
    int wasted = 0;
    for (int i = 0; i < 400; i++) {
      long now = i * 10 * MILLI;
      PoolRequest work = TestRequests.prompt(1, 500, 1_000 + 10L * i, 100, 3_000);
      SentRequest sending = send(work, now);
      if (sending.upstream().listing().domain().equals(REMOTE)) {
        wasted++;
        selector.recordEnd(sending, false, SendOutcome.UNREACHABLE, now + 250 * MILLI);
      } else {
        selector.recordActivity(sending.upstream(), now);
        selector.recordPrefill(sending, now);
      }
    }
    assertTrue(
        wasted <= 2 + 4, wasted + " requests were sent to the unreachable domain within 4 s");
    UpstreamState far =
        selector.states().stream().filter(UpstreamSelectorTest::isFar).findAny().get();
    long healed = 20_000 * MILLI;
    selector.recordActivity(far, healed);
    UpstreamState next =
        selector
            .choose(TestRequests.prompt(1, 500, 90_000, 100, 3_000), Set.of(), healed)
            .orElseThrow();
    assertTrue(isFar(next), "the domain is used again after activity from it");
  }

  /**
   * The local domain is closed and partitioned: no remote upstream is reachable, and no local one
   * may be used.
   */
  @Test
  void reachNoUpstreamWhenTheLocalDomainIsClosedAndOthersAreUnreachable() {
    List<UpstreamListing> listings = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      listings.add(TestRequests.listing("near-" + i, ENGINES, LOCAL, 0));
      listings.add(TestRequests.listing("far-" + i, ENGINES, REMOTE, 0));
    }
    selector.setListings(listings, 0);
    selector.setClosedDomains(Set.of(LOCAL));
    assertTrue(selector.hasReachableUpstream());
    Set<UpstreamId> tried = new HashSet<>();
    for (int i = 0; i < 2; i++) {
      PoolRequest work = TestRequests.prompt(1, 500, 70_000 + i, 100, 3_000);
      UpstreamState far = selector.choose(work, tried, 0).orElseThrow();
      tried.add(far.listing().upstream());
      assertTrue(selector.hasReachableUpstream());
      selector.recordEnd(selector.sent(far, work, 0), false, SendOutcome.UNREACHABLE, 250 * MILLI);
    }
    assertFalse(selector.hasReachableUpstream());
    selector.recordActivity(
        selector.states().stream().filter(UpstreamSelectorTest::isFar).findAny().get(), 0);
    assertTrue(selector.hasReachableUpstream());
  }

  private static boolean isFar(UpstreamState state) {
    return state.listing().domain().equals(REMOTE);
  }

  /** Chats and long prompts arrive together: no engine reads a long prompt beside running chats. */
  @ParameterizedTest
  @ValueSource(ints = {6, 12, 40})
  void separateChatsAndLongPrompts(int engines) {
    selector.setListings(TestRequests.listings(ENGINES, engines), 0);
    Set<UpstreamId> chats = new HashSet<>();
    Set<UpstreamId> prompts = new HashSet<>();
    for (int i = 0; i < 2 * engines; i++) {
      long now = i * 300 * MILLI;
      PoolRequest chat = TestRequests.prompt(0, 120, 5 + i, 300, 900);
      SentRequest chatSending = send(chat, now);
      selector.recordActivity(chatSending.upstream(), now);
      selector.recordPrefill(chatSending, now);
      chats.add(chatSending.upstream().listing().upstream());
      SentRequest promptSending =
          send(TestRequests.prompt(2, 500, 1_000 + 10L * i, 13_000, 3_700), now);
      selector.recordActivity(promptSending.upstream(), now);
      selector.recordEnd(promptSending, false, SendOutcome.SUCCEEDED, now);
      prompts.add(promptSending.upstream().listing().upstream());
      if (i >= engines / 2) {
        selector.recordEnd(chatSending, true, SendOutcome.SUCCEEDED, now);
      }
    }
    Set<UpstreamId> both = new HashSet<>(chats);
    both.retainAll(prompts);
    assertEquals(Set.of(), both);
    assertTrue(prompts.size() > engines / 3, "too few engines got long prompts: " + prompts.size());
  }

  /**
   * A burst of long prompts of the lowest tier takes all capacity that it can get: higher tiers
   * still find some.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 12})
  void leaveCapacityForHigherTiersInABurst(int engines) {
    selector.setListings(TestRequests.listings(ENGINES, engines), 0);
    long shared = 1_000;
    while (selector
        .choose(TestRequests.prompt(2, 500, shared, 13_000, 4_000), Set.of(), 0)
        .isPresent()) {
      send(TestRequests.prompt(2, 500, shared, 13_000, 4_000), 0);
      shared += 10;
    }
    assertTrue(
        selector.choose(TestRequests.prompt(1, 200, 7, 6_000, 3_000), Set.of(), 0).isPresent());
    for (int i = 0; i < 10 * engines; i++) {
      PoolRequest chat = TestRequests.prompt(0, 120, 50_000 + 10L * i, 300, 900);
      assertTrue(
          selector.choose(chat, Set.of(), 0).isPresent(), "chat " + i + " found no capacity");
      send(chat, 0);
    }
  }

  /** In a burst of long prompts, most wait at the router, so that a higher tier can pass them. */
  @Test
  void limitTheBacklogThatLowTiersCauseAtEngines() {
    selector.setListings(TestRequests.listings(ENGINES, 1), 0);
    long shared = 1_000;
    while (selector
        .choose(TestRequests.prompt(2, 500, shared, 13_000, 4_000), Set.of(), 0)
        .isPresent()) {
      send(TestRequests.prompt(2, 500, shared, 13_000, 4_000), 0);
      shared += 10;
    }
    assertTrue(shared <= 1_050, "the engine got " + (shared - 1_000) / 10 + " long prompts");
    long waiting = selector.states().iterator().next().load().promptTokens();
    assertTrue(waiting >= 12_000, "the backlog of the engine is below 0.3 s: " + waiting);
  }

  @Test
  void avoidDrainingAndClosedUpstreams() {
    UpstreamListing open = TestRequests.listing("open", PLAIN, LOCAL, 0);
    UpstreamListing draining =
        new UpstreamListing(
            new UpstreamId("draining"),
            PLAIN,
            LOCAL,
            open.address(),
            true,
            false,
            2,
            0,
            SoftwareVersion.UNSPECIFIED);
    selector.setListings(List.of(draining, TestRequests.listing("far", PLAIN, REMOTE, 0)), 0);
    assertEquals("far", choose(TestRequests.call(0), 0));
    selector.setClosedDomains(Set.of(REMOTE));
    assertEquals(Optional.empty(), selector.choose(TestRequests.call(0), Set.of(), 0));
    assertFalse(selector.isServed(TestRequests.call(0), 0));
  }

  @Test
  void sendNoMoreThanThereAreSlots() {
    selector.setListings(TestRequests.listings(PLAIN, 1), 0);
    send(TestRequests.call(0), 0);
    SentRequest second = send(TestRequests.call(0), 0);
    assertEquals("-", choose(TestRequests.call(0), 0));
    selector.recordEnd(second, true, SendOutcome.SUCCEEDED, 0);
    assertEquals("u0", choose(TestRequests.call(0), 0));
  }
}
