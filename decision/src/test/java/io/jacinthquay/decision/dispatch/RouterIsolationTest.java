package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouterIsolationTest {
  private final RouterIsolation contact = new RouterIsolation();

  @ParameterizedTest
  @CsvSource({
    "0, false, false",
    "2500, false, false",
    "2501, false, true",
    "2501, true, false",
    "60000, true, false",
    "60000, false, true"
  })
  void isIsolatedOnlyWithoutControlVmsAndUpstreams(
      long silentMillis, boolean reaches, boolean lost) {
    contact.recordControlMessage(7);
    assertEquals(lost, contact.isIsolated(() -> reaches, 7 + silentMillis * TestRequests.MILLI));
  }

  /** A router that never heard from a control VM is uninformed, which is reported separately. */
  @Test
  void isNotIsolatedBeforeTheFirstMessage() {
    assertFalse(contact.isIsolated(() -> false, Long.MAX_VALUE));
  }

  @Test
  void isNoLongerIsolatedAfterTheNextMessage() {
    contact.recordControlMessage(0);
    contact.recordControlMessage(9_000 * TestRequests.MILLI);
    assertFalse(contact.isIsolated(() -> false, 10_000 * TestRequests.MILLI));
  }
}
