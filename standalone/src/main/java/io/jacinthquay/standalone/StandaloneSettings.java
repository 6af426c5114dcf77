package io.jacinthquay.standalone;

import io.jacinthquay.runtime.settings.Setting;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.settings.SettingsParser;
import io.jacinthquay.runtime.settings.SocketAddresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

/**
 * The settings of {@code jq-standalone}.
 *
 * @param mode what the process does once all components run
 * @param folder the data folder
 * @param listen the address for callers; port 0 takes a free one
 */
record StandaloneSettings(Mode mode, Path folder, InetSocketAddress listen) {
  /** What the process does once all components run. */
  enum Mode {
    /** Sends a few requests, prints the reports and exits. */
    DEMO,
    /** Serves callers until stopped. */
    SERVE
  }

  private static final Setting<Mode> MODE =
      Setting.of(
              "mode",
              "send a few requests and end, or serve until stopped",
              "demo or serve",
              StandaloneSettings::mode)
          .withDefault("demo");
  private static final Setting<Path> DATA_FOLDER =
      Setting.path("data", "data folder").withDefault("data/standalone");
  private static final Setting<InetSocketAddress> LISTEN =
      Setting.of("listen", "where callers connect", "ip:port", SocketAddresses::parse)
          .withDefault("127.0.0.1:0");

  static final SettingsParser PARSER =
      SettingsParser.of(
          "jq-standalone",
          "Runs a keeper, a router and a controller in one process, with small fakes.",
          List.of(MODE, DATA_FOLDER, LISTEN));

  /**
   * Checks that all settings are present.
   *
   * @throws NullPointerException if a setting is missing
   */
  StandaloneSettings {
    Objects.requireNonNull(mode, "mode");
    Objects.requireNonNull(folder, "folder");
    Objects.requireNonNull(listen, "listen");
  }

  static StandaloneSettings from(Settings settings) {
    return new StandaloneSettings(
        settings.value(MODE), settings.value(DATA_FOLDER), settings.value(LISTEN));
  }

  private static Mode mode(String text) {
    return Arrays.stream(Mode.values())
        .filter(mode -> mode.name().toLowerCase(Locale.ROOT).equals(text))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("is neither demo nor serve: " + text));
  }
}
