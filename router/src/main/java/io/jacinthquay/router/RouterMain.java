package io.jacinthquay.router;

import io.jacinthquay.router.adapter.http.HttpEngineMonitor;
import io.jacinthquay.router.adapter.http.HttpVmDirectory;
import io.jacinthquay.router.adapter.http.JsonHttp;
import io.jacinthquay.router.adapter.thrift.PeerChannels;
import io.jacinthquay.router.adapter.thrift.PeerServer;
import io.jacinthquay.router.adapter.thrift.ThriftClaimStore;
import io.jacinthquay.router.adapter.thrift.ThriftConfigSource;
import io.jacinthquay.router.adapter.thrift.ThriftUsageSink;
import io.jacinthquay.router.port.ConfigSource;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.router.service.RouterPorts;
import io.jacinthquay.router.service.RouterService;
import io.jacinthquay.runtime.Program;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.ServiceGroup;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Runs {@code jq-router}. */
public final class RouterMain {
  private static final Duration KEEPER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final int CLAIM_THREADS = 8;
  private static final int CLAIM_QUEUE = 256;

  private RouterMain() {}

  /** Runs the program. */
  public static void main(String[] args) {
    System.exit(Program.run(RouterSettings.PARSER, args, RouterMain::service).number());
  }

  private static Service service(Settings settings) {
    try {
      TlsIdentity identity = TlsIdentity.load(settings.value(RouterSettings.TLS));
      return service(settings, identity);
    } catch (IOException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }

  private static Service service(Settings settings, TlsIdentity identity) {
    RouterOptions options = RouterSettings.options(settings);
    PeerChannels channels = new PeerChannels(identity);
    List<InetSocketAddress> keepers = settings.value(RouterSettings.KEEPERS);
    AtomicReference<RouterService> router = new AtomicReference<>();
    ThriftConfigSource config =
        new ThriftConfigSource(
            () -> sources(router.get(), keepers), identity, options.self(), options.domain());
    router.set(RouterService.create(options, ports(settings, options, identity, config, channels)));
    PeerServer peerServer =
        new PeerServer(
            settings.value(RouterSettings.PEER_LISTEN),
            identity,
            options.self(),
            options.domain(),
            router.get().peerReceiver());
    return new ServiceGroup(List.of(peerServer, router.get()));
  }

  /** Relays of the failure domain first, so that few routers ask the keepers. */
  private static List<InetSocketAddress> sources(
      RouterService router, List<InetSocketAddress> keepers) {
    List<InetSocketAddress> sources = new ArrayList<>(router.configRelays());
    sources.addAll(keepers);
    return sources;
  }

  private static RouterPorts ports(
      Settings settings,
      RouterOptions options,
      TlsIdentity identity,
      ConfigSource config,
      PeerMessenger peers) {
    KeeperClient keepers =
        new KeeperClient(settings.value(RouterSettings.KEEPERS), identity, KEEPER_TIMEOUT);
    JsonHttp http = new JsonHttp(PLATFORM_TIMEOUT);
    String claimant = options.self().value() + "-" + ProcessHandle.current().pid();
    return new RouterPorts(
        config,
        new ThriftClaimStore(keepers, claimant, claimThreads()),
        new ThriftUsageSink(keepers),
        new HttpVmDirectory(http, settings.value(RouterSettings.PLATFORM)),
        new HttpEngineMonitor(http),
        peers);
  }

  private static Executor claimThreads() {
    return new ThreadPoolExecutor(
        CLAIM_THREADS,
        CLAIM_THREADS,
        1,
        TimeUnit.MINUTES,
        new ArrayBlockingQueue<>(CLAIM_QUEUE),
        RouterMain::daemon);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "claims");
    thread.setDaemon(true);
    return thread;
  }
}
