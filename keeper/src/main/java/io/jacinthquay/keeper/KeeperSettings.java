package io.jacinthquay.keeper;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.runtime.settings.Setting;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.settings.SettingsParser;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The settings of {@code jq-keeper}. */
final class KeeperSettings {
  static final Setting<VmId> NAME =
      Setting.of("name", "this keeper's name, as in its certificate", "name", VmId::new);
  static final Setting<DomainId> DOMAIN =
      Setting.of("domain", "failure domain of this VM", "name", DomainId::new);
  static final Setting<InetSocketAddress> LISTEN =
      Setting.of("listen", "where to serve calls", "ip:port", SocketAddresses::parse);
  static final Setting<Path> DATA = Setting.path("data", "data folder, made if missing");
  static final Setting<Path> TLS =
      Setting.path("tls", "folder with ca.pem, cert.pem and key.pem of this keeper");
  static final Setting<List<Peer>> PEERS =
      Setting.list("peers", "all other keepers", "name=ip:port", KeeperSettings::parsePeer)
          .withDefault("");
  static final Setting<Integer> KEY_LEASE =
      Setting.integer(
              "key-lease-ms", "how long a key table stays current", "milliseconds", 500, 600_000)
          .withDefault(String.valueOf(KeeperOptions.DEFAULT_KEY_LEASE.toMillis()));
  static final Setting<Integer> MAX_CONNECTIONS =
      Setting.integer("max-connections", "most connections at one time", "connections", 8, 10_000)
          .withDefault(String.valueOf(KeeperOptions.DEFAULT_MAX_CONNECTIONS));

  static final SettingsParser PARSER =
      SettingsParser.of(
          "jq-keeper",
          "Holds the replicated state: configuration, keys, leases, claims and usage.",
          List.of(NAME, DOMAIN, LISTEN, DATA, TLS, PEERS, KEY_LEASE, MAX_CONNECTIONS));

  private KeeperSettings() {}

  /** Name and address of another keeper. */
  record Peer(String name, InetSocketAddress address) {}

  private static Peer parsePeer(String text) {
    int separator = text.indexOf('=');
    if (separator < 1) {
      throw new IllegalArgumentException("is not name=ip:port: " + text);
    }
    return new Peer(
        new VmId(text.substring(0, separator)).value(),
        SocketAddresses.parse(text.substring(separator + 1)));
  }

  /**
   * Returns the keeper options for the settings.
   *
   * @throws IllegalStateException if the TLS folder cannot be read or the options are invalid
   */
  static KeeperOptions options(Settings settings) {
    Map<String, InetSocketAddress> peers = new TreeMap<>();
    settings.value(PEERS).forEach(peer -> peers.put(peer.name(), peer.address()));
    try {
      return new KeeperOptions(
          settings.value(NAME).value(),
          settings.value(LISTEN),
          settings.value(DATA),
          TlsIdentity.load(settings.value(TLS)),
          peers,
          Duration.ofMillis(settings.value(KEY_LEASE)),
          settings.value(MAX_CONNECTIONS),
          KeeperOptions.defaultLogOptions());
    } catch (IOException | IllegalArgumentException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }
}
