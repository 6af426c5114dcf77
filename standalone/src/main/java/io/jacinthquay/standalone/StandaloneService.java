package io.jacinthquay.standalone;

import io.jacinthquay.controller.ControllerService;
import io.jacinthquay.controller.ControllerSettings;
import io.jacinthquay.ctl.CtlMain;
import io.jacinthquay.keeper.KeeperOptions;
import io.jacinthquay.keeper.KeeperService;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.RouterAssembly;
import io.jacinthquay.router.RouterEndpoints;
import io.jacinthquay.router.adapter.thrift.PeerServer;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.router.service.RouterService;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.testkit.platform.PlatformLedger;
import io.jacinthquay.wire.client.KeeperClient;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

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

  private static final PeerIdentity KEEPER = new PeerIdentity("keeper-1", PeerRole.KEEPER);
  private static final PeerIdentity ROUTER = new PeerIdentity("entry-1", PeerRole.ROUTER);
  private static final PeerIdentity CONTROLLER =
      new PeerIdentity("controller-1", PeerRole.CONTROLLER);
  private static final PeerIdentity OPERATOR = new PeerIdentity("operator-1", PeerRole.OPERATOR);
  private static final Duration KEEPER_TIMEOUT = Duration.ofSeconds(5);

  private final StandaloneSettings settings;
  private final Identities identities;
  private final EmbeddedPlatform platform = new EmbeddedPlatform();
  private final Deque<Service> running = new ArrayDeque<>();
  private InetSocketAddress keeperAddress;
  private KeeperClient operator;
  private RouterService router;
  private PeerServer inner;

  StandaloneService(StandaloneSettings settings) {
    this.settings = settings;
    this.identities = new Identities(settings.folder().resolve("tls"));
  }

  @Override
  public void start() {
    run(platform);
    startKeeper();
    operator = client(OPERATOR);
    new OperatorSession(operator).applyEmbeddedPolicy();
    router = newRouter();
    run(router);
    inner = newInnerServer();
    run(inner);
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
            KEEPER.name(), any, settings.folder().resolve("keeper"), identities.identity(KEEPER));
    KeeperService keeper = new KeeperService(options);
    run(keeper);
    keeperAddress = new InetSocketAddress(any.getAddress(), keeper.port());
  }

  private KeeperClient client(PeerIdentity peer) {
    return new KeeperClient(List.of(keeperAddress), identities.identity(peer), KEEPER_TIMEOUT);
  }

  private RouterService newRouter() {
    VmId self = new VmId(ROUTER.name());
    DomainId domain = new DomainId(EmbeddedPlatform.DOMAIN);
    RouterOptions options = RouterOptions.of(self, domain, settings.listen());
    RouterEndpoints endpoints =
        new RouterEndpoints(
            List.of(keeperAddress), platform.address(), identities.identity(ROUTER));
    return RouterAssembly.create(options, endpoints);
  }

  private PeerServer newInnerServer() {
    return new PeerServer(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        identities.identity(ROUTER),
        new VmId(ROUTER.name()),
        new DomainId(EmbeddedPlatform.DOMAIN),
        router.peerReceiver());
  }

  private ControllerService newController() {
    return new ControllerService(
        new ControllerSettings(
            CONTROLLER.name(),
            new DomainId(EmbeddedPlatform.DOMAIN),
            List.of(keeperAddress),
            platform.address(),
            identities.folder(CONTROLLER),
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

  /** Runs {@code jqctl report} against this process and prints what it prints. */
  ExitCode printReport(PrintStream out) {
    String[] args = {
      "--keepers",
      "127.0.0.1:" + keeperAddress.getPort(),
      "--tls",
      identities.folder(OPERATOR).toString(),
      "report",
      "--routers",
      "127.0.0.1:" + inner.port()
    };
    return CtlMain.run(args, Map.of(), out, out);
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
  }
}
