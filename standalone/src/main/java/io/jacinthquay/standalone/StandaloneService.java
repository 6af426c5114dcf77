package io.jacinthquay.standalone;

import io.jacinthquay.controller.ControllerService;
import io.jacinthquay.controller.ControllerSettings;
import io.jacinthquay.keeper.KeeperOptions;
import io.jacinthquay.keeper.KeeperService;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.adapter.http.HttpVmDirectory;
import io.jacinthquay.router.adapter.http.JsonHttp;
import io.jacinthquay.router.adapter.thrift.ThriftClaimStore;
import io.jacinthquay.router.adapter.thrift.ThriftConfigSource;
import io.jacinthquay.router.adapter.thrift.ThriftUsageSink;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.router.service.RouterPorts;
import io.jacinthquay.router.service.RouterService;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.testkit.platform.PlatformLedger;
import io.jacinthquay.wire.client.KeeperClient;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Runs a keeper, a router, a controller and the fakes in one process.
 *
 * <pre>{@code
 * StandaloneService service = new StandaloneService(settings);
 * service.start();
 * int port = service.routerPort();
 * }</pre>
 */
final class StandaloneService implements Service {
  static final int WATERMARK_MILLIS = 2_000;

  private static final Duration KEEPER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final int CLAIM_THREADS = 4;

  private final StandaloneSettings settings;
  private final Identities identities;
  private final EmbeddedPlatform platform = new EmbeddedPlatform();
  private final Deque<Service> running = new ArrayDeque<>();
  private final ExecutorService claims =
      Executors.newFixedThreadPool(CLAIM_THREADS, StandaloneService::newThread);
  private InetSocketAddress keeperAddress;
  private KeeperClient operator;
  private RouterService router;

  StandaloneService(StandaloneSettings settings) {
    this.settings = settings;
    this.identities = new Identities(settings.folder().resolve("tls"));
  }

  @Override
  public void start() {
    run(platform);
    startKeeper();
    operator = client(PeerRole.OPERATOR);
    new OperatorSession(operator).applyEmbeddedPolicy();
    router = newRouter();
    run(router);
    run(newController());
  }

  private void run(Service service) {
    service.start();
    running.push(service);
  }

  private void startKeeper() {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    KeeperOptions options =
        KeeperOptions.single(
            "keeper-1",
            any,
            settings.folder().resolve("keeper"),
            identities.identity(PeerRole.KEEPER));
    KeeperService keeper = new KeeperService(options);
    run(keeper);
    keeperAddress = new InetSocketAddress(any.getAddress(), keeper.port());
  }

  private KeeperClient client(PeerRole role) {
    return new KeeperClient(List.of(keeperAddress), identities.identity(role), KEEPER_TIMEOUT);
  }

  private RouterService newRouter() {
    VmId self = new VmId("entry-1");
    DomainId domain = new DomainId(EmbeddedPlatform.DOMAIN);
    TlsIdentity identity = identities.identity(PeerRole.ROUTER);
    KeeperClient keepers = new KeeperClient(List.of(keeperAddress), identity, KEEPER_TIMEOUT);
    RouterPorts ports =
        new RouterPorts(
            new ThriftConfigSource(List.of(keeperAddress), identity, self, domain),
            new ThriftClaimStore(keepers, self.value(), claims),
            new ThriftUsageSink(keepers),
            new HttpVmDirectory(new JsonHttp(PLATFORM_TIMEOUT), platform.address()));
    RouterOptions options =
        RouterOptions.of(self, domain, settings.listen())
            .withUsageWindow(Duration.ofMillis(UsageWindow.LENGTH_MILLIS));
    return RouterService.create(options, ports);
  }

  private ControllerService newController() {
    return new ControllerService(
        new ControllerSettings(
            "controller-1",
            new DomainId(EmbeddedPlatform.DOMAIN),
            List.of(keeperAddress),
            platform.address(),
            identities.folder(PeerRole.CONTROLLER),
            WATERMARK_MILLIS));
  }

  int routerPort() {
    return router.port();
  }

  boolean isReady() {
    return router.isReady() && router.upstreams() > 0;
  }

  OperatorSession operator() {
    return new OperatorSession(operator);
  }

  PlatformLedger ledger() {
    return platform.ledger();
  }

  @Override
  public void stop() {
    while (!running.isEmpty()) {
      Service service = running.pop();
      service.stop();
    }
    if (operator != null) {
      operator.close();
    }
    claims.shutdown();
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "claims");
    thread.setDaemon(true);
    return thread;
  }
}
