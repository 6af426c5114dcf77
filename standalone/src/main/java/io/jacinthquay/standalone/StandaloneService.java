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
  private final IdentityIssuer identityIssuer;
  private final EmbeddedPlatform platform = new EmbeddedPlatform();
  private final Deque<Service> startedServices = new ArrayDeque<>();
  private InetSocketAddress keeperAddress;
  private KeeperClient operator;
  private RouterService router;
  private PeerServer peerServer;

  StandaloneService(StandaloneSettings settings) {
    this.settings = settings;
    this.identityIssuer = new IdentityIssuer(settings.folder().resolve("tls"));
  }

  @Override
  public void start() {
    startService(platform);
    startKeeper();
    operator = client(OPERATOR);
    new OperatorSession(operator).applyEmbeddedPolicy();
    router = newRouter();
    startService(router);
    peerServer = newPeerServer();
    startService(peerServer);
    startService(newController());
  }

  private void startService(Service service) {
    service.start();
    startedServices.push(service);
  }

  private void startKeeper() {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    KeeperOptions options =
        KeeperOptions.withoutPeers(
            KEEPER.name(),
            anyPort,
            settings.folder().resolve("keeper"),
            identityIssuer.issue(KEEPER));
    KeeperService keeper = new KeeperService(options);
    startService(keeper);
    keeperAddress = new InetSocketAddress(anyPort.getAddress(), keeper.port());
  }

  private KeeperClient client(PeerIdentity peer) {
    return new KeeperClient(List.of(keeperAddress), identityIssuer.issue(peer), KEEPER_TIMEOUT);
  }

  private RouterService newRouter() {
    VmId self = new VmId(ROUTER.name());
    DomainId domain = new DomainId(EmbeddedPlatform.DOMAIN);
    RouterOptions options = RouterOptions.of(self, domain, settings.listen());
    RouterEndpoints endpoints =
        new RouterEndpoints(
            List.of(keeperAddress), platform.address(), identityIssuer.issue(ROUTER));
    return RouterAssembly.create(options, endpoints);
  }

  private PeerServer newPeerServer() {
    return new PeerServer(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
        identityIssuer.issue(ROUTER),
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
            identityIssuer.issueFiles(CONTROLLER),
            WATERMARK_MILLIS));
  }

  int routerPort() {
    return router.port();
  }

  boolean isReady() {
    return router.isReady() && router.listedVmCount() > 0;
  }

  OperatorSession operator() {
    return new OperatorSession(operator);
  }

  /** Runs {@code jqctl report} against this process and writes its output to a stream. */
  ExitCode printReport(PrintStream out) {
    String[] args = {
      "--keepers",
      "127.0.0.1:" + keeperAddress.getPort(),
      "--tls",
      identityIssuer.issueFiles(OPERATOR).toString(),
      "report",
      "--routers",
      "127.0.0.1:" + peerServer.port()
    };
    return CtlMain.run(args, Map.of(), out, out);
  }

  PlatformLedger ledger() {
    return platform.ledger();
  }

  @Override
  public void stop() {
    while (!startedServices.isEmpty()) {
      Service service = startedServices.pop();
      service.stop();
    }
    if (operator != null) {
      operator.close();
    }
  }
}
