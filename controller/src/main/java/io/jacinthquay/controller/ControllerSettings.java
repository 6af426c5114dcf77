package io.jacinthquay.controller;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.runtime.settings.Setting;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.settings.SettingsParser;
import io.jacinthquay.runtime.settings.SocketAddresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;

/**
 * The settings of a controller.
 *
 * @param name the name of this VM
 * @param domain the failure domain of this VM
 * @param keepers the addresses of all keepers
 * @param platform the address of the platform
 * @param tlsFolder the folder of the TLS identity, see {@link
 *     io.jacinthquay.runtime.tls.TlsIdentity}
 * @param watermarkMillis how long a usage window stays open after its end, in milliseconds
 */
public record ControllerSettings(
    String name,
    DomainId domain,
    List<InetSocketAddress> keepers,
    InetSocketAddress platform,
    Path tlsFolder,
    int watermarkMillis) {
  /** One hour. */
  private static final int MAX_WATERMARK_MILLIS = 3_600_000;

  static final Setting<String> NAME = Setting.text("name", "name of this VM");
  static final Setting<DomainId> DOMAIN =
      Setting.of("domain", "failure domain of this VM", "name", DomainId::new);
  static final Setting<List<InetSocketAddress>> KEEPERS =
      Setting.list("keepers", "addresses of all keepers", "ip:port", SocketAddresses::parse);
  static final Setting<InetSocketAddress> PLATFORM =
      Setting.of("platform", "address of the platform", "ip:port", SocketAddresses::parse);
  static final Setting<Path> TLS = Setting.path("tls", "folder with ca.pem, cert.pem and key.pem");
  static final Setting<Integer> WATERMARK =
      Setting.integer(
              "usage-watermark",
              "how long a usage window stays open after its end",
              "milliseconds",
              0,
              MAX_WATERMARK_MILLIS)
          .withDefault("30000");

  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public ControllerSettings {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(platform, "platform");
    Objects.requireNonNull(tlsFolder, "tlsFolder");
    keepers = List.copyOf(keepers);
  }

  /** Returns the parser of the settings of {@code jq-controller}. */
  public static SettingsParser parser() {
    return SettingsParser.of(
        "jq-controller",
        "Orders upstreams and reports usage, under leases.",
        List.of(NAME, DOMAIN, KEEPERS, PLATFORM, TLS, WATERMARK));
  }

  /**
   * Returns the settings of a controller.
   *
   * @param settings the values that {@link #parser()} has read
   */
  public static ControllerSettings from(Settings settings) {
    return new ControllerSettings(
        settings.value(NAME),
        settings.value(DOMAIN),
        settings.value(KEEPERS),
        settings.value(PLATFORM),
        settings.value(TLS),
        settings.value(WATERMARK));
  }
}
