package io.jacinthquay.router.service.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.DomainId;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class RetryBudgetsTest {
  private static final Duration WINDOW = Duration.ofSeconds(10);

  private final AtomicLong clock = new AtomicLong();
  private final ForwardMetrics metrics = new ForwardMetrics();
  private final RetryBudgets budgets =
      new RetryBudgets(
          new ForwardOptions(
              new DomainId("a"),
              Optional.of(new ForwardOptions.RetryLimits(0.2, 50, WINDOW)),
              Optional.empty(),
              Optional.empty(),
              Set.of(),
              Duration.ZERO),
          metrics,
          clock::get);

  private Object shownPercent() {
    return metrics.registry().getGauges().get("jq_forward_retry_extra_percent").getValue();
  }

  /** A router that was suspended showed the part that it had before. */
  @Test
  void partIsNotShownOnceItHasEnded() {
    for (int second = 0; second <= 11; second++) {
      clock.set(TimeUnit.SECONDS.toNanos(second));
      budgets.updateRouters(4, clock.get());
    }
    assertEquals(25L, shownPercent());
    clock.addAndGet(WINDOW.toNanos() + 1);
    assertEquals(0L, shownPercent());
  }
}
