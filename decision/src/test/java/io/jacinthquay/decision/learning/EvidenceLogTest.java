package io.jacinthquay.decision.learning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.model.UpstreamId;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class EvidenceLogTest {
  private static final UpstreamId ENGINE = new UpstreamId("u0");

  private final EvidenceLog log = new EvidenceLog();

  private UpstreamEvidence evidence(long now) {
    return log.evidence(now).getOrDefault(ENGINE, UpstreamEvidence.NONE);
  }

  /** Guards against one stalled or instant response that sets the rate of an engine. */
  @ParameterizedTest
  @CsvSource({"100,100", "100000,400", "1,25"})
  void boundOneObservation(double millis, double counted) {
    log.recordFirstEvent(ENGINE, 4_000, millis, 40, 0);
    UpstreamEvidence evidence = evidence(0);
    assertEquals(counted, evidence.readMillis() * 4_000 / evidence.readTokens(), 1e-6);
  }

  /** Guards against an engine that fails at once and so looks fast. */
  @Test
  void learnNoSpeedFromFailures() {
    log.recordEnd(ENGINE, false, 0);
    assertEquals(new UpstreamEvidence(0, 0, 0, 0, 0, 1), evidence(0));
  }

  /** Guards against small prompts, whose time is mostly decoding, that set the prompt rate. */
  @Test
  void weighSmallPromptsLess() {
    log.recordFirstEvent(ENGINE, 50, 5, 40, 0);
    double small = evidence(0).readMillis();
    assertTrue(small < 1, "weighted milliseconds: " + small);
  }

  /** Guards against observations that count for ever after an engine has recovered. */
  @Test
  void forgetOldObservations() {
    log.recordFirstEvent(ENGINE, 4_000, 400, 40, 0);
    double first = evidence(0).readMillis();
    assertEquals(first / Math.E, evidence(5_000_000_000L).readMillis(), 1e-6);
    assertEquals(Map.of(), log.reported(60_000_000_000L));
  }
}
