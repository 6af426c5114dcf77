package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.Tier;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class UrgencyTest {
  private static PoolRequest work(int tier, int targetMillis) {
    return new PoolRequest(
        TestRequests.ENGINES,
        new Tier(tier),
        10,
        10,
        List.of(),
        targetMillis,
        0,
        0,
        0,
        Optional.empty());
  }

  @ParameterizedTest
  @CsvSource({"0,300,0", "0,400,0", "0,401,1", "0,1000,1", "0,1001,2", "1,300,3", "2,2000,8"})
  void ordersByTargetWithinATier(int tier, int targetMillis, int rank) {
    assertEquals(rank, work(tier, targetMillis).urgency());
  }

  /** The tier takes precedence over any target. */
  @ParameterizedTest
  @CsvSource({"0,1", "1,2", "2,3", "14,15"})
  void putsAHigherTierFirstWhateverItsTarget(int higher, int lower) {
    assertTrue(work(higher, 60_000).urgency() < work(lower, 1).urgency());
  }
}
