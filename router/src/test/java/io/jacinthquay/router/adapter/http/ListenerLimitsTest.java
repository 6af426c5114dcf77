package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ListenerLimitsTest {
  private static final int DESCRIPTORS_OF_A_MACHINE = 4_100;

  /** Callers took all descriptors, so that the readiness address answered nobody. */
  @Test
  void callersLeaveDescriptorsForOtherAddresses() {
    int callers = ListenerLimits.defaults().maxConnections();
    assertTrue(callers <= DESCRIPTORS_OF_A_MACHINE * 3 / 4, () -> callers + " connections");
  }
}
