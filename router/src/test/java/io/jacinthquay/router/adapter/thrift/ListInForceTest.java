package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an older list of upstreams that replaces a newer one from another source. */
final class ListInForceTest {
  private static final List<UpstreamListing> READY = List.of(upstream(false, 0));
  private static final List<UpstreamListing> DRAINING = List.of(upstream(true, 0));

  private final List<List<UpstreamListing>> applied = new ArrayList<>();
  private final PoolVersionRuns versions = new PoolVersionRuns();
  private final ListInForce list = new ListInForce(applied::add, versions);

  private static UpstreamListing upstream(boolean draining, long coldMillis) {
    return new UpstreamListing(
        new UpstreamId("u"),
        new PoolName("p"),
        new DomainId("a"),
        InetSocketAddress.createUnresolved("u", 1),
        draining,
        false,
        1,
        coldMillis,
        new SoftwareVersion("v1"));
  }

  private static long nanos(long millis) {
    return millis * 1_000_000;
  }

  /** A VM answers at once. */
  private void answer(
      String vm, long number, Optional<List<UpstreamListing>> sent, long ageMillis, long atMillis) {
    answer(vm, number, sent, ageMillis, atMillis, atMillis);
  }

  private void answer(
      String vm,
      long number,
      Optional<List<UpstreamListing>> sent,
      long ageMillis,
      long askedMillis,
      long answeredMillis) {
    list.record(
        new ListInForce.Answer(
            vm,
            ListInForce.Source.OTHER_VM,
            number,
            sent,
            ageMillis,
            nanos(askedMillis),
            nanos(answeredMillis)));
  }

  /** The list in force was polled at 9.9 s; another VM answers at 11 s. */
  @ParameterizedTest
  @CsvSource({
    "500, 11000, true",
    "1000, 11000, true",
    "1100, 11000, false",
    "30000, 11000, false",
    // The answer took long, so that its list may be as old as the one in force.
    "500, 10300, false"
  })
  void onlyANewerListOfAnotherVmIsApplied(long ageMillis, long askedMillis, boolean newer) {
    answer("a", 1, Optional.of(READY), 100, 10_000);
    answer("b", 1, Optional.of(DRAINING), ageMillis, askedMillis, 11_000);
    assertEquals(newer ? List.of(READY, DRAINING) : List.of(READY), applied);
  }

  /** A list that was too old when it was received is applied once its VM confirms it. */
  @Test
  void listThatIsConfirmedLaterIsAppliedWithoutBeingSentAgain() {
    answer("a", 1, Optional.of(READY), 100, 10_000);
    answer("b", 7, Optional.of(DRAINING), 5_000, 10_100);
    assertEquals(Optional.of(7L), list.numberFrom("b"));
    answer("b", 7, Optional.empty(), 100, 10_500);
    assertEquals(List.of(READY, DRAINING), applied);
    assertEquals("b", list.origin());
  }

  @Test
  void sameListOfAnotherVmIsNotAppliedAgain() {
    answer("a", 1, Optional.of(READY), 100, 10_000);
    answer("b", 7, Optional.of(READY), 100, 11_000);
    assertEquals(List.of(READY), applied);
    assertEquals(101, list.age(nanos(11_000)).toMillis());
  }

  /** Nothing but the number says which list a VM means that sends none. */
  @Test
  void unknownNumberChangesNothing() {
    answer("a", 1, Optional.of(READY), 100, 10_000);
    answer("b", 0, Optional.empty(), 0, 11_000);
    answer("a", 2, Optional.empty(), 0, 12_000);
    assertEquals(List.of(READY), applied);
    assertEquals(2_101, list.age(nanos(12_000)).toMillis());
  }

  /** The age of one VM's list varies with the time that answers take. */
  @Test
  void changeAtTheSameVmIsAppliedThoughTheAnswerTookLong() {
    answer("a", 1, Optional.of(READY), 0, 10_000);
    answer("a", 2, Optional.of(DRAINING), 50, 10_000, 10_450);
    assertEquals(List.of(READY, DRAINING), applied);
  }

  @Test
  void listOfThePlatformIsReplacedByANewerOne() {
    answer("a", 1, Optional.of(READY), 100, 10_000);
    list.recordPlatform(DRAINING, nanos(9_800), nanos(9_850));
    assertEquals(ListInForce.Source.OTHER_VM, list.source());
    list.recordPlatform(DRAINING, nanos(12_000), nanos(12_100));
    assertEquals(ListInForce.Source.PLATFORM, list.source());
    answer("a", 1, Optional.empty(), 100, 12_150);
    answer("a", 1, Optional.empty(), 100, 12_300);
    assertEquals(List.of(READY, DRAINING, READY), applied);
  }

  @Test
  void coldTimePassesWhileAListIsKept() {
    answer("b", 7, Optional.of(List.of(upstream(true, 3_000))), 100, 10_000);
    answer("a", 1, Optional.of(READY), 0, 10_500);
    answer("b", 7, Optional.empty(), 100, 12_000);
    assertEquals(List.of(upstream(true, 1_000)), applied.get(2));
  }

  @Test
  void listsOfFormerMembersAreDropped() {
    answer("a", 1, Optional.of(READY), 100, 10_000);
    list.retain(Set.of("b"));
    assertEquals(Optional.empty(), list.numberFrom("a"));
  }
}
