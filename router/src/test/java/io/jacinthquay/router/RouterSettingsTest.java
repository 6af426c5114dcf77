package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.UsageWindow;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RouterSettingsTest {
  private static final String[] VALID = {
    "--name",
    "entry-1",
    "--domain",
    "a",
    "--keepers",
    "127.0.0.1:1",
    "--platform",
    "127.0.0.1:2",
    "--tls",
    "t"
  };

  /** Keepers reject counters of other windows, so a setting for the window would lose usage. */
  @Test
  void usageWindowEqualsThatOfTheKeepers() {
    long windowMillis =
        RouterSettings.options(RouterSettings.PARSER.parse(VALID, Map.of()).get())
            .usageWindow()
            .toMillis();
    assertEquals(UsageWindow.LENGTH_MILLIS, windowMillis);
  }

  @Test
  void allErrorsAreReportedAtOnce() {
    String[] invalid = {"--listen", "nowhere", "--io-threads", "0", "--window", "7"};
    List<String> errors = RouterSettings.PARSER.parse(invalid, Map.of()).getLeft();
    for (String name : List.of("--listen", "--io-threads", "unknown", "--name", "--keepers")) {
      assertTrue(errors.toString().contains(name), errors.toString());
    }
  }
}
