package io.jacinthquay.router;

import io.jacinthquay.decision.membership.Candidate;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import io.jacinthquay.router.service.PeerOptions;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.runtime.settings.Setting;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.settings.SettingsParser;
import io.jacinthquay.runtime.settings.SocketAddresses;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** The settings of {@code jq-router}. */
final class RouterSettings {
  static final Setting<VmId> NAME =
      Setting.of("name", "name of this VM, unique over all VMs", "name", VmId::new);
  static final Setting<DomainId> DOMAIN =
      Setting.of("domain", "failure domain of this VM", "name", DomainId::new);
  static final Setting<InetSocketAddress> LISTEN =
      Setting.of("listen", "where callers connect", "ip:port", SocketAddresses::parse)
          .withDefault("0.0.0.0:8080");
  static final Setting<List<InetSocketAddress>> KEEPERS =
      Setting.list("keepers", "all keepers", "ip:port", SocketAddresses::parse);
  static final Setting<InetSocketAddress> PEER_LISTEN =
      Setting.of("peer-listen", "where other routers connect", "ip:port", SocketAddresses::parse)
          .withDefault("0.0.0.0:7400");
  static final Setting<String> PEER_ADDRESS =
      Setting.of("peer-address", "where other routers reach this one", "ip:port", text -> text)
          .withDefault("");
  static final Setting<List<Candidate>> PEERS =
      Setting.list(
              "peers",
              "other routers, beside those in the platform's list",
              "name@domain@ip:port",
              RouterSettings::parsePeer)
          .withDefault("");
  static final Setting<InetSocketAddress> PLATFORM =
      Setting.of("platform", "the platform's interface", "ip:port", SocketAddresses::parse);
  static final Setting<Path> TLS = Setting.path("tls", "folder with ca.pem, cert.pem and key.pem");
  static final Setting<Integer> IO_THREADS =
      Setting.integer("io-threads", "threads that carry requests", "threads", 1, 256)
          .withDefault("2");
  static final Setting<Integer> MAX_HEAD =
      Setting.integer("max-head-bytes", "largest request head", "bytes", 1_024, 1_048_576)
          .withDefault("32768");
  static final Setting<Integer> MAX_BODY =
      Setting.integer("max-body-bytes", "largest request body", "bytes", 1, 1_073_741_824)
          .withDefault("8388608");
  static final Setting<Integer> MAX_BUFFERED =
      Setting.integer(
              "max-buffered-bytes",
              "bytes of all bodies held at one time",
              "bytes",
              1,
              2_000_000_000)
          .withDefault("67108864");
  static final Setting<Integer> MAX_CONNECTIONS =
      Setting.integer("max-connections", "open connections", "connections", 1, 1_000_000)
          .withDefault("10000");
  static final Setting<Integer> HEAD_TIMEOUT =
      Setting.integer("head-timeout-ms", "time for a head to arrive", "ms", 10, 600_000)
          .withDefault("10000");
  static final Setting<Integer> BODY_TIMEOUT =
      Setting.integer("body-timeout-ms", "time for a body to arrive", "ms", 10, 600_000)
          .withDefault("30000");
  static final Setting<Integer> IDLE_TIMEOUT =
      Setting.integer("idle-timeout-ms", "time that a connection may be idle", "ms", 10, 3_600_000)
          .withDefault("60000");
  static final Setting<Integer> STALL =
      Setting.integer(
              "stall-ms", "silence after which an upstream is given up", "ms", 10, 3_600_000)
          .withDefault("15000");
  static final Setting<Integer> CONNECT_TIMEOUT =
      Setting.integer("connect-timeout-ms", "time to reach an upstream", "ms", 1, 60_000)
          .withDefault("1000");
  static final Setting<Integer> DRAIN_DELAY =
      Setting.integer(
              "drain-delay-ms", "time between not ready and refusing requests", "ms", 0, 600_000)
          .withDefault("3000");
  static final Setting<Integer> DRAIN_LIMIT =
      Setting.integer(
              "drain-limit-ms", "time for requests to finish at a stop", "ms", 0, 86_400_000)
          .withDefault("600000");

  static final SettingsParser PARSER =
      SettingsParser.of(
          "jq-router",
          "Serves callers and sends their requests to upstreams.",
          List.of(
              NAME,
              DOMAIN,
              LISTEN,
              KEEPERS,
              PEER_LISTEN,
              PEER_ADDRESS,
              PEERS,
              PLATFORM,
              TLS,
              IO_THREADS,
              MAX_HEAD,
              MAX_BODY,
              MAX_BUFFERED,
              MAX_CONNECTIONS,
              HEAD_TIMEOUT,
              BODY_TIMEOUT,
              IDLE_TIMEOUT,
              STALL,
              CONNECT_TIMEOUT,
              DRAIN_DELAY,
              DRAIN_LIMIT));

  private RouterSettings() {}

  /** Returns the options of the router that the settings describe. */
  static RouterOptions options(Settings settings) {
    ListenerLimits limits =
        new ListenerLimits(
            settings.value(MAX_HEAD),
            settings.value(MAX_BODY),
            settings.value(MAX_BUFFERED),
            settings.value(MAX_CONNECTIONS),
            settings.value(HEAD_TIMEOUT),
            settings.value(BODY_TIMEOUT),
            settings.value(IDLE_TIMEOUT));
    return new RouterOptions(
        settings.value(NAME),
        settings.value(DOMAIN),
        settings.value(LISTEN),
        settings.value(IO_THREADS),
        limits,
        Duration.ofMillis(UsageWindow.LENGTH_MILLIS),
        Duration.ofMillis(settings.value(STALL)),
        Duration.ofMillis(settings.value(CONNECT_TIMEOUT)),
        Duration.ofMillis(settings.value(DRAIN_DELAY)),
        Duration.ofMillis(settings.value(DRAIN_LIMIT)),
        Duration.ofSeconds(1),
        new PeerOptions(peerAddress(settings), settings.value(PEERS)));
  }

  /** Returns the address for peers; by default the one that this router listens on for them. */
  private static String peerAddress(Settings settings) {
    String address = settings.value(PEER_ADDRESS);
    InetSocketAddress listen = settings.value(PEER_LISTEN);
    return address.isEmpty() ? SocketAddresses.format(listen) : address;
  }

  /** Parses a peer of the form {@code name@domain@ip:port}. */
  private static Candidate parsePeer(String text) {
    String[] parts = text.split("@");
    if (parts.length != 3) {
      throw new IllegalArgumentException("is not of the form name@domain@ip:port: " + text);
    }
    String address = parts[2];
    if (SocketAddresses.parse(address).isUnresolved()) {
      throw new IllegalArgumentException("is not a valid address: " + address);
    }
    return new Candidate(new VmId(parts[0]), new DomainId(parts[1]), address, false);
  }
}
