package io.jacinthquay.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class SuspectTrackerTest {
  private static final PartId DEADLY = new PartId(0xdead);
  private static final PartId SHARED = new PartId(0x5a);
  private static final PartId OTHER = new PartId(0x77);
  private static final long SECOND = 1_000_000_000L;
  private static final long LONG_AFTER = 100 * SECOND;

  private final SuspectTracker tracker = new SuspectTracker();

  private void crash(String upstream, double second, PartId... parts) {
    long at = (long) (second * SECOND);
    tracker.recordBroken(new BrokenSend(new UpstreamId(upstream), List.of(parts), at), at);
  }

  private void established(PartId part, double second) {
    tracker.recordEstablished(part, (long) (second * SECOND));
  }

  @Test
  void partOfThreeCrashesIsConfirmedAndSharedPartIsNot() {
    crash("a", 1, SHARED, DEADLY);
    established(SHARED, 1.5);
    crash("b", 2, SHARED, DEADLY);
    crash("c", 3, SHARED, DEADLY);
    assertEquals(List.of(DEADLY), tracker.takeConfirmed(4 * SECOND));
    assertEquals(List.of(), tracker.takeConfirmed(LONG_AFTER));
  }

  /** Crashes in quick succession leave no time for an answer on the shared part in between. */
  @Test
  void sharedPartThatWasServedBeforeIsSparedWhileCrashesComeQuickly() {
    established(SHARED, 0.9);
    crash("a", 1, SHARED, DEADLY);
    established(SHARED, 0.9);
    crash("b", 1.3, SHARED, DEADLY);
    crash("c", 1.6, SHARED, DEADLY);
    crash("d", 1.9, SHARED, DEADLY);
    assertEquals(List.of(DEADLY), tracker.takeConfirmed(3 * SECOND));
    assertEquals(0, tracker.crashes(SHARED));
  }

  /** Each line: upstreams and times of broken sends with the same parts. */
  @ParameterizedTest
  @CsvSource({
    "'a b c', '1 1.1 1.2', false",
    "'a a a', '1 4 7', false",
    "'a a b', '1 2 3', false",
    "'a a b', '1 4 7', true",
    "'a b c', '1 2 3', true",
    "'a b a b c d e f g h', '1 1.1 1.2 1 1.1 1.2 1 1.1 1.2 1.24', false",
  })
  void crashesMustBeApartInTimeAndAtSeveralUpstreams(
      String upstreams, String seconds, boolean confirmed) {
    String[] names = upstreams.split(" ");
    String[] times = seconds.split(" ");
    for (int i = 0; i < names.length; i++) {
      crash(names[i], Double.parseDouble(times[i]), DEADLY);
    }
    assertEquals(confirmed, tracker.takeConfirmed(LONG_AFTER).contains(DEADLY));
  }

  @Test
  void nothingIsConfirmedBeforeRoutersCouldReportAnswers() {
    crash("a", 1, DEADLY);
    crash("b", 1.3, DEADLY);
    crash("c", 1.6, DEADLY);
    assertEquals(List.of(), tracker.takeConfirmed(2 * SECOND));
    assertEquals(List.of(DEADLY), tracker.takeConfirmed(3 * SECOND));
  }

  @Test
  void bystandersOfTheSameCrashesAreNotConfirmed() {
    crash("a", 1, DEADLY, SHARED);
    crash("b", 2, DEADLY, SHARED);
    crash("c", 3, DEADLY, SHARED);
    crash("d", 4, DEADLY);
    crash("a", 1, OTHER);
    crash("b", 2, OTHER);
    crash("c", 3, OTHER);
    assertEquals(List.of(DEADLY), tracker.takeConfirmed(LONG_AFTER));
    assertEquals(0, tracker.crashes(SHARED) + tracker.crashes(OTHER));
  }

  /** All requests with the deadly part begin alike, and no other such request came yet. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void ofPartsThatAlwaysCameTogetherOnlyTheLastIsConfirmedUntilTheOtherCrashesAlone(
      boolean firstIsDeadlyToo) {
    crash("a", 1, SHARED, DEADLY);
    crash("b", 2, SHARED, DEADLY);
    crash("c", 3, SHARED, DEADLY);
    assertEquals(List.of(DEADLY), tracker.takeConfirmed(4 * SECOND));
    assertEquals(List.of(SHARED), tracker.suspects(10));
    if (firstIsDeadlyToo) {
      crash("d", 5, SHARED, OTHER);
      assertEquals(List.of(SHARED), tracker.takeConfirmed(LONG_AFTER));
    } else {
      established(SHARED, 5);
      crash("d", 6, SHARED, OTHER);
      assertEquals(List.of(), tracker.takeConfirmed(LONG_AFTER));
    }
  }

  @Test
  void retryIsAllowedAfterTheFirstCrashOnly() {
    crash("a", 1, DEADLY);
    assertFalse(tracker.isSuspectBeside(DEADLY, new UpstreamId("a")));
    assertTrue(tracker.isSuspectBeside(DEADLY, new UpstreamId("b")));
  }

  @Test
  void crashesOfOneUpstreamThatNeverRecoversAreBounded() {
    for (int i = 0; i < 1_000; i++) {
      crash("a", 3 * i, DEADLY);
    }
    assertTrue(tracker.crashes(DEADLY) <= 8);
    assertEquals(List.of(), tracker.takeConfirmed(3_000 * SECOND));
    crash("b", 3_000, DEADLY);
    assertEquals(List.of(DEADLY), tracker.takeConfirmed(3_001 * SECOND));
  }

  @Test
  void floodOfNewPartsDoesNotDisplaceASuspectOfTwoCrashes() {
    crash("a", 1, DEADLY);
    crash("b", 2, DEADLY);
    for (int i = 0; i < 5 * SuspectTracker.MAX_SUSPECTS; i++) {
      crash("u" + i, 2.5 + i * 0.001, new PartId(1_000_000 + i));
    }
    assertEquals(List.of(DEADLY), tracker.suspects(1));
    assertEquals(SuspectTracker.MAX_SUSPECTS, tracker.suspects(Integer.MAX_VALUE).size());
    crash("c", 9, DEADLY);
    assertTrue(tracker.takeConfirmed(10 * SECOND).contains(DEADLY));
  }

  /** Reports of several routers arrive twice, late and in any order. */
  @Property(tries = 300, seed = "34")
  void orderAndRepetitionOfReportsDoNotMatter(
      @ForAll @IntRange(min = 1, max = 8) int crashes, @ForAll long seed) {
    List<Runnable> reports = new ArrayList<>();
    for (int i = 0; i < crashes; i++) {
      int index = i;
      Runnable report = () -> crash("u" + index, 1 + index, SHARED, DEADLY);
      Runnable bystander = () -> crash("u" + index, 1 + index + 0.01, new PartId(index));
      reports.addAll(List.of(report, report, bystander));
    }
    reports.add(() -> established(SHARED, 1 + crashes));
    Collections.shuffle(reports, new Random(seed));
    // Each report is repeated, so that every suspect is known when the answer is reported.
    reports.forEach(Runnable::run);
    reports.forEach(Runnable::run);
    assertEquals(crashes >= 3 ? List.of(DEADLY) : List.of(), tracker.takeConfirmed(LONG_AFTER));
  }

  /** Ordinary failures: each part that comes often is also served often. */
  @Property(tries = 200, seed = "35")
  void partsThatAreServedInBetweenAreNeverConfirmed(@ForAll long seed) {
    Random random = new Random(seed);
    for (int i = 0; i < 400; i++) {
      double second = 1 + i * 0.1;
      PartId part = new PartId(random.nextInt(20));
      if (random.nextInt(100) < 20) {
        crash("u" + random.nextInt(9), second, SHARED, part);
      } else {
        established(part, second);
        established(SHARED, second);
      }
      assertFalse(tracker.takeConfirmed((long) (second * SECOND)).contains(SHARED));
    }
  }
}
