package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The check of the soak reports a core that stays without a leader, and no core that starts. */
final class LeaderRecoveryTest {
  private static final Duration LIMIT = Duration.ofMillis(600);

  /** Three control VMs, the last of which never answers. */
  private static final class StartingControls implements LeaderRecovery.Controls {
    private final long startNanos = System.nanoTime();
    private final long answersAfterMillis;
    private final long leadsAfterMillis;

    private StartingControls(long answersAfterMillis, long leadsAfterMillis) {
      this.answersAfterMillis = answersAfterMillis;
      this.leadsAfterMillis = leadsAfterMillis;
    }

    private boolean isPast(long millis) {
      return System.nanoTime() - startNanos >= Duration.ofMillis(millis).toNanos();
    }

    @Override
    public int count() {
      return 3;
    }

    @Override
    public boolean answers(int control) {
      return control < 2 && isPast(answersAfterMillis);
    }

    @Override
    public boolean leads(int control) {
      return control == 1 && isPast(leadsAfterMillis);
    }
  }

  @ParameterizedTest
  @CsvSource({"0, 0, 0", "0, 200, 0", "1000, 1200, 0", "0, 5000, 1", "300, 5000, 1"})
  void timeCountsFromTheAnswersOfAMajority(long answersAfter, long leadsAfter, int violations)
      throws Exception {
    Verdict verdict =
        new LeaderRecovery(new StartingControls(answersAfter, leadsAfter), LIMIT)
            .judge(SoakRun.within(Duration.ofSeconds(10)));
    assertEquals(1, verdict.judged());
    assertEquals(violations, verdict.violations().size(), verdict.violations().toString());
  }
}
