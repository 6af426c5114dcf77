package io.jacinthquay.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class QuarantinedPartTest {
  private static final PartId PART = new PartId(1);

  @ParameterizedTest
  @CsvSource({"0, 1", "1, 2", "2, 4", "5, 32", "6, 60", "100, 60"})
  void timeBetweenTrialsDoublesUpToAnHour(int trials, long minutes) {
    QuarantinedPart part = QuarantinedPart.startingAt(PART, 0);
    long trialAt = 0;
    for (int i = 0; i < trials; i++) {
      trialAt = part.retryAtMillis();
      part = part.withTrialAt(trialAt);
    }
    assertEquals(Duration.ofMinutes(minutes).toMillis(), part.retryAtMillis() - trialAt);
    assertEquals(trials, part.trials());
    assertEquals(0, part.sinceMillis());
  }

  @Test
  void rejectsANegativeNumberOfTrials() {
    assertThrows(IllegalArgumentException.class, () -> new QuarantinedPart(PART, 0, 0, -1));
  }
}
