package io.jacinthquay.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.control.state.ControlTables;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import io.jacinthquay.wire.transport.PlainChannel;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.apache.thrift.protocol.TMultiplexedProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ControlServiceTest {
  private static final int SEEDS = 3;
  private static final int ALL = 5;
  private static final int MANY = 40;
  private static final int CALL_MILLIS = 20_000;
  private static final byte[] DOCUMENT = "document 5".getBytes(StandardCharsets.UTF_8);

  /** Only ends a test that hangs; nothing is measured against it. */
  private static final long HANG_SECONDS = 60;

  @TempDir private Path folder;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<ControlService> running = new ArrayList<>();
  private final Map<InetSocketAddress, PlainChannel> channels = new HashMap<>();

  @BeforeEach
  void findPorts() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < ALL; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort()));
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
  }

  @AfterEach
  void stopAll() {
    channels.values().forEach(PlainChannel::close);
    running.forEach(ControlService::stop);
  }

  private static Either<Failure, RoutingDocument> unreadable(byte[] bytes) {
    return Either.left(Failure.of(ResultCode.CONFIG_INVALID, "not looked at here"));
  }

  private static String domain(int index) {
    return "domain-" + index;
  }

  private ControlService start(int index) {
    return start(index, 1);
  }

  private ControlService start(int index, int toleratedLosses) {
    ControlOptions options =
        new ControlOptions(
            "vm-" + index,
            new DomainId(domain(index)),
            addresses.get(index),
            addresses.get(index),
            addresses.subList(0, SEEDS),
            folder.resolve("vm-" + index),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            toleratedLosses);
    ControlService service =
        new ControlService(options, new FakeFleet(), ControlServiceTest::unreadable);
    service.start();
    running.add(service);
    return service;
  }

  private void stop(ControlService service) {
    running.remove(service);
    service.stop();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_SECONDS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "it does not come about");
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private ControlService leader() throws InterruptedException {
    await(() -> running.stream().anyMatch(s -> s.store().status().isLeader()));
    return running.stream().filter(s -> s.store().status().isLeader()).findFirst().orElseThrow();
  }

  private void propose(byte[] command) throws Exception {
    while (leader()
        .store()
        .propose(command)
        .toCompletableFuture()
        .get(HANG_SECONDS, TimeUnit.SECONDS)
        .isLeft()) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private static List<String> voters(ControlService service) {
    return service.store().status().membership().voters().stream()
        .map(replica -> replica.member().value())
        .collect(Collectors.toList());
  }

  private static String name(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** A VM is lost for good and another comes at another address: it takes the lost one's place. */
  @Test
  void letANewVmTakeThePlaceOfALostOne() throws Exception {
    for (int i = 0; i < SEEDS; i++) {
      start(i);
    }
    propose(ControlState.document(5, DOCUMENT));
    start(SEEDS);
    await(() -> running.get(SEEDS).store().tables().version() == 5);
    assertEquals(SEEDS, voters(leader()).size(), "the newcomer stands by");
    ControlService lost = running.get(0);
    stop(lost);
    String newcomer = name(addresses.get(SEEDS));
    await(
        () ->
            running.stream()
                .anyMatch(s -> s.store().status().isLeader() && voters(s).contains(newcomer)));
    ControlTables tables =
        leader().store().read().toCompletableFuture().get(HANG_SECONDS, TimeUnit.SECONDS).get();
    assertArrayEquals(DOCUMENT, tables.document().orElseThrow());
    assertEquals(SEEDS, voters(leader()).size());
  }

  @Test
  void keepTheHighestDocumentOverRestarts() throws Exception {
    for (int i = 0; i < SEEDS; i++) {
      start(i);
    }
    propose(ControlState.document(5, DOCUMENT));
    propose(ControlState.document(4, new byte[] {4}));
    propose(ControlState.document(5, new byte[] {5}));
    propose(ControlState.domain("a", true));
    propose(ControlState.domain("b", true));
    propose(ControlState.domain("a", false));
    List.copyOf(running).forEach(this::stop);
    for (int i = 0; i < SEEDS; i++) {
      start(i);
    }
    propose(ControlState.domain("c", true));
    ControlTables tables = leader().store().tables();
    assertEquals(5, tables.version());
    assertArrayEquals(DOCUMENT, tables.document().orElseThrow());
    assertEquals(List.of("b", "c"), tables.closedDomains().toJavaList());
  }

  private ControlViewMessage exchange(InetSocketAddress vm, String domain, int router)
      throws Exception {
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter("router-" + router);
    report.setIncarnation(1);
    report.setDomain(domain);
    report.setDocumentVersion(-1);
    report.setClosedIndex(-1);
    report.setLoads(List.of(new UpstreamLoadMessage("u", 1, 0, 0, 0)));
    report.setCounts(List.of());
    report.setDemand(List.of());
    report.setReads(List.of());
    PlainChannel channel = channels.get(vm);
    if (channel == null) {
      channel = PlainChannel.open(vm, CALL_MILLIS, CALL_MILLIS);
      channels.put(vm, channel);
    }
    return new Control.Client(new TMultiplexedProtocol(channel.protocol(), ControlService.ROUTERS))
        .exchange(report);
  }

  /** Lets routers of a domain report to the leader, as they do all the time. */
  private boolean isRelayNamed(InetSocketAddress leader, String domain) {
    boolean named = false;
    for (int router = 0; router < MANY; router++) {
      named |= asks(leader, domain, router).isSetRelay();
    }
    return named;
  }

  /** Hundreds of routers ask a relay of their failure domain, which knows what the leader knows. */
  @Test
  void letRoutersAskTheRelayOfTheirDomain() throws Exception {
    for (int i = 0; i < SEEDS; i++) {
      start(i);
    }
    propose(ControlState.document(5, DOCUMENT));
    int leader = running.indexOf(leader());
    int relay = (leader + 1) % SEEDS;
    InetSocketAddress leaderAddress = addresses.get(leader);
    String domain = domain(relay);
    await(() -> isRelayNamed(leaderAddress, domain));
    assertEquals(name(addresses.get(relay)), asks(leaderAddress, domain, 0).getRelay());
    await(
        () ->
            isRelayNamed(leaderAddress, domain)
                && asks(addresses.get(relay), domain, MANY).isRelays());
    await(
        () -> {
          boolean named = isRelayNamed(leaderAddress, domain);
          ControlViewMessage view = asks(addresses.get(relay), domain, MANY);
          return named
              && view.isRelays()
              && view.getDocumentVersion() == 5
              && view.getOtherLoadsSize() == 1
              && view.getOtherLoads().get(0).getInFlight() >= MANY - 1;
        });
    await(() -> asks(leaderAddress, domain, 0).getRouters() == MANY + 1);
    assertFalse(asks(addresses.get(relay), domain(leader), 0).isRelays(), "of another domain");
  }

  private ControlViewMessage asks(InetSocketAddress vm, String domain, int router) {
    try {
      return exchange(vm, domain, router);
    } catch (Exception e) {
      throw new AssertionError("control VM " + vm + " doesn't answer", e);
    }
  }

  /**
   * A change that three VMs hold is gone with two of them, where the loss of two is to be borne.
   */
  @Test
  void acknowledgeNothingThatTwoLossesMayTake() throws Exception {
    for (int i = 0; i < SEEDS; i++) {
      start(i, 2);
    }
    await(() -> running.stream().anyMatch(s -> s.store().status().isLeader()));
    Either<Failure, Void> early =
        leader()
            .store()
            .propose(ControlState.document(5, DOCUMENT))
            .toCompletableFuture()
            .get(HANG_SECONDS, TimeUnit.SECONDS);
    assertEquals(ResultCode.NOT_READY, early.getLeft().code());
    assertEquals(-1, leader().store().tables().version());
    start(SEEDS, 2);
    start(SEEDS + 1, 2);
    propose(ControlState.document(5, DOCUMENT));
    assertEquals(ALL, voters(leader()).size());
  }
}
