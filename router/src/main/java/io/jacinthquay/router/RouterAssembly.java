package io.jacinthquay.router;

import io.jacinthquay.router.adapter.http.HttpEngineMonitor;
import io.jacinthquay.router.adapter.http.HttpVmDirectory;
import io.jacinthquay.router.adapter.http.JsonHttp;
import io.jacinthquay.router.adapter.thrift.PeerServer;
import io.jacinthquay.router.adapter.thrift.ThriftClaimStore;
import io.jacinthquay.router.adapter.thrift.ThriftConfigSource;
import io.jacinthquay.router.adapter.thrift.ThriftPeerMessenger;
import io.jacinthquay.router.adapter.thrift.ThriftUsageSink;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.router.service.RouterPorts;
import io.jacinthquay.router.service.RouterService;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.ServiceGroup;
import io.jacinthquay.wire.client.KeeperClient;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Creates routers with the adapters that connect them to the rest of the system.
 *
 * <pre>{@code
 * RouterService router = RouterAssembly.create(options, endpoints);
 * router.start();
 * }</pre>
 */
public final class RouterAssembly {
  /** Longest time of one call to a keeper. */
  private static final Duration KEEPER_TIMEOUT = Duration.ofSeconds(2);

  /** Longest time of one request to the platform or an engine. */
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

  /** Most claim calls to the keepers at one time. */
  private static final int CLAIM_THREADS = 8;

  /** Most claim calls that wait for a thread. */
  private static final int CLAIM_QUEUE_CAPACITY = 256;

  private RouterAssembly() {}

  /** Returns a router without peers that has not started. */
  public static RouterService create(RouterOptions options, RouterEndpoints endpoints) {
    return create(options, endpoints, PeerMessenger.NONE);
  }

  /**
   * Returns a router with peers together with the server that the peers connect to.
   *
   * @param peerListen the address that the peers connect to
   */
  public static Service withPeers(
      RouterOptions options, RouterEndpoints endpoints, InetSocketAddress peerListen) {
    ThriftPeerMessenger channels = new ThriftPeerMessenger(endpoints.identity());
    RouterService router = create(options, endpoints, channels);
    PeerServer server =
        new PeerServer(
            peerListen,
            endpoints.identity(),
            options.self(),
            options.domain(),
            router.peerReceiver());
    return new ServiceGroup(List.of(server, router));
  }

  private static RouterService create(
      RouterOptions options, RouterEndpoints endpoints, PeerMessenger peers) {
    KeeperClient keepers =
        new KeeperClient(endpoints.keepers(), endpoints.identity(), KEEPER_TIMEOUT);
    JsonHttp http = new JsonHttp(PLATFORM_TIMEOUT);
    String incarnation = Long.toHexString(new SecureRandom().nextLong());
    AtomicReference<RouterService> router = new AtomicReference<>();
    RouterPorts ports =
        new RouterPorts(
            new ThriftConfigSource(
                () -> sources(router.get(), endpoints),
                endpoints.identity(),
                options.self(),
                options.domain()),
            new ThriftClaimStore(
                keepers, options.self().value() + "/" + incarnation, newClaimPool()),
            new ThriftUsageSink(keepers),
            new HttpVmDirectory(http, endpoints.platform()),
            new HttpEngineMonitor(http),
            peers);
    router.set(RouterService.create(options, ports));
    return router.get();
  }

  /**
   * Returns the relays of the failure domain followed by the keepers. Relays come first so that few
   * routers poll the keepers.
   */
  private static List<InetSocketAddress> sources(RouterService router, RouterEndpoints endpoints) {
    List<InetSocketAddress> sources = new ArrayList<>(router.configRelays());
    sources.addAll(endpoints.keepers());
    return sources;
  }

  private static ThreadPoolExecutor newClaimPool() {
    return new ThreadPoolExecutor(
        CLAIM_THREADS,
        CLAIM_THREADS,
        1,
        TimeUnit.MINUTES,
        new ArrayBlockingQueue<>(CLAIM_QUEUE_CAPACITY),
        RouterAssembly::newClaimThread);
  }

  private static Thread newClaimThread(Runnable task) {
    Thread thread = new Thread(task, "claims");
    thread.setDaemon(true);
    return thread;
  }
}
