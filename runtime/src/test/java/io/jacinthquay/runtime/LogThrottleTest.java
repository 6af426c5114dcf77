package io.jacinthquay.runtime;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class LogThrottleTest {
  @ParameterizedTest
  @ValueSource(longs = {0, Long.MIN_VALUE, Long.MAX_VALUE})
  void letsOneLineASecondThroughFromTheStart(long startNanos) {
    LogThrottle lines = new LogThrottle(startNanos);
    assertTrue(lines.tryAcquire(startNanos));
    assertFalse(lines.tryAcquire(startNanos + LogThrottle.INTERVAL_NANOS - 1));
    assertTrue(lines.tryAcquire(startNanos + LogThrottle.INTERVAL_NANOS));
    assertFalse(lines.tryAcquire(startNanos + LogThrottle.INTERVAL_NANOS + 1));
  }
}
