package io.jacinthquay.router.service.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.decision.dispatch.RouterIsolation;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PromptQuarantineTest {
  private static final PartId DEADLY_ID = new PartId(0xdead);
  private static final PartId SHARED_ID = new PartId(0x5a);
  private static final List<PromptPart> SHARED = List.of(new PromptPart(0x5a, 100));
  private static final List<PromptPart> DEADLY =
      List.of(new PromptPart(0x5a, 100), new PromptPart(0xdead, 10));
  private static final long SECOND = 1_000_000_000L;

  private final RouterIsolation contact = new RouterIsolation();
  private final PromptQuarantine quarantine = new PromptQuarantine(contact);

  @BeforeEach
  void hearFirst() {
    contact.recordControlMessage(0);
  }

  private void crash(int upstream, long second) {
    quarantine.recordBroken(new UpstreamId("i-" + upstream), DEADLY, second * SECOND);
  }

  private void hear(long second, List<PartId> suspects, List<PartId> trials) {
    contact.recordControlMessage(second * SECOND);
    quarantine.recordControlMessage(suspects, trials, second * SECOND);
  }

  private void quarantineDeadlyPart(long retryAtMillis) {
    quarantine.updateQuarantined(List.of(new QuarantinedPart(DEADLY_ID, 0, retryAtMillis, 0)));
  }

  /** While control VMs answer, only they decide, since other routers may have served the part. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void routerDecidesByItsOwnEvidenceWhileControlVmsAreSilent(boolean silent) {
    for (int i = 1; i <= 4; i++) {
      crash(i, 2L * i);
      if (!silent) {
        hear(2L * i, List.of(), List.of());
      }
    }
    assertEquals(silent, quarantine.rejects(DEADLY));
    assertFalse(quarantine.rejects(SHARED));
    hear(10, List.of(), List.of());
    assertFalse(quarantine.rejects(DEADLY));
  }

  @Test
  void oneRequestIsTriedForEachPermission() {
    quarantineDeadlyPart(60_000);
    assertTrue(quarantine.rejects(DEADLY));
    assertFalse(quarantine.tryAcquireTrial(DEADLY, SECOND));
    assertEquals(List.of(DEADLY_ID), quarantine.report(SECOND).rejectedParts());
    assertEquals(List.of(), quarantine.report(SECOND).rejectedParts());
    hear(2, List.of(), List.of(DEADLY_ID));
    assertTrue(quarantine.tryAcquireTrial(DEADLY, 3 * SECOND));
    assertFalse(quarantine.tryAcquireTrial(DEADLY, 3 * SECOND));
    hear(4, List.of(), List.of(DEADLY_ID));
    assertFalse(quarantine.tryAcquireTrial(DEADLY, 100 * SECOND), "the permission has expired");
  }

  @Test
  void timeToTheTrialIsNeverNegative() {
    quarantineDeadlyPart(60_000);
    assertEquals(59_000, quarantine.millisToTrial(DEADLY, 1_000));
    assertEquals(0, quarantine.millisToTrial(DEADLY, 90_000));
    assertEquals(0, quarantine.millisToTrial(SHARED, 0));
  }

  /** A report or the leader that received it may be lost. */
  @Test
  void evidenceIsRepeatedForSomeSeconds() {
    crash(1, 1);
    assertEquals(1, quarantine.report(SECOND).brokenSends().size());
    assertEquals(0, quarantine.report(2 * SECOND).brokenSends().size());
    Map<?, Long> repeated = quarantine.report(4 * SECOND).brokenSends();
    assertEquals(List.of(3_000L), List.copyOf(repeated.values()));
    assertEquals(0, quarantine.report(20 * SECOND).brokenSends().size());
  }

  @Test
  void answersOnSuspectsAreReportedAlsoIfTheyCameBefore() {
    quarantine.recordEstablished(SHARED, SECOND);
    assertEquals(Map.of(), quarantine.report(SECOND).establishedParts());
    hear(2, List.of(SHARED_ID, DEADLY_ID), List.of());
    assertEquals(Map.of(SHARED_ID, 1_000L), quarantine.report(2 * SECOND).establishedParts());
    assertEquals(Map.of(), quarantine.report(3 * SECOND).establishedParts());
    quarantine.recordEstablished(SHARED, 3 * SECOND);
    assertEquals(Map.of(SHARED_ID, 0L), quarantine.report(3 * SECOND).establishedParts());
  }

  @Test
  void requestIsNotRetriedOnceItsPartIsSuspectedElsewhere() {
    crash(1, 1);
    assertFalse(quarantine.isSuspectBeside(new UpstreamId("i-1"), DEADLY));
    crash(2, 2);
    assertTrue(quarantine.isSuspectBeside(new UpstreamId("i-2"), DEADLY));
    assertFalse(quarantine.isSuspectBeside(new UpstreamId("i-2"), List.of()));
    PromptQuarantine other = new PromptQuarantine(contact);
    other.recordControlMessage(List.of(DEADLY_ID), List.of(), SECOND);
    assertTrue(other.isSuspectBeside(new UpstreamId("i-3"), DEADLY));
  }

  /** A customer may name another customer's part beside one that crashes upstreams. */
  @Test
  void partsBesideAQuarantinedOneAreNotBlamed() {
    quarantineDeadlyPart(60_000);
    crash(1, 1);
    assertEquals(Map.of(), quarantine.report(SECOND).brokenSends());
  }

  @Test
  void floodOfBrokenSendsIsBounded() {
    for (int i = 0; i < 10_000; i++) {
      crash(i, 1);
    }
    assertEquals(32, quarantine.report(SECOND).brokenSends().size());
  }
}
