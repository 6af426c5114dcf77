package io.jacinthquay.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.Role;
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
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.apache.thrift.protocol.TMultiplexedProtocol;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ControlServiceTest {
  private static final int SEED_COUNT = 3;
  private static final int VM_COUNT = 5;
  private static final int ROUTER_COUNT = 40;
  private static final int CALL_TIMEOUT_MILLIS = 20_000;
  private static final byte[] DOCUMENT = "document 5".getBytes(StandardCharsets.UTF_8);

  /** Timeout that only ends a test that hangs; nothing is measured against it. */
  private static final long HANG_TIMEOUT_SECONDS = 60;

  @TempDir private Path folder;
  private final List<InetSocketAddress> addresses = new ArrayList<>();
  private final List<ControlService> running = new ArrayList<>();
  private final Map<InetSocketAddress, PlainChannel> channels = new HashMap<>();

  @BeforeEach
  void findPorts() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < VM_COUNT; i++) {
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

  private static Either<Failure, RoutingDocument> rejectDocument(byte[] bytes) {
    return Either.left(
        Failure.of(ResultCode.CONFIG_INVALID, "documents are not decoded in this test"));
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
            addresses.subList(0, SEED_COUNT),
            folder.resolve("vm-" + index),
            Duration.ofSeconds(2),
            Optional.of(Duration.ofSeconds(5)),
            toleratedLosses,
            false);
    ControlService service =
        new ControlService(options, new FakeFleet(), ControlServiceTest::rejectDocument);
    service.start();
    running.add(service);
    return service;
  }

  private void stop(ControlService service) {
    running.remove(service);
    service.stop();
  }

  private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(HANG_TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition not met in time");
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private ControlService leader() throws InterruptedException {
    awaitTrue(() -> running.stream().anyMatch(s -> s.store().status().isLeader()));
    return running.stream().filter(s -> s.store().status().isLeader()).findFirst().orElseThrow();
  }

  private void propose(byte[] command) throws Exception {
    while (leader()
        .store()
        .propose(command)
        .toCompletableFuture()
        .get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS)
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

  /** A VM is lost for good, and a VM with another address must replace it as a voter. */
  @Test
  void newVmReplacesLostVoter() throws Exception {
    for (int i = 0; i < SEED_COUNT; i++) {
      start(i);
    }
    propose(ControlState.documentCommand(5, DOCUMENT));
    start(SEED_COUNT);
    awaitTrue(() -> running.get(SEED_COUNT).store().tables().version() == 5);
    assertEquals(
        SEED_COUNT, voters(leader()).size(), "the new VM is a learner until a voter is lost");
    ControlService lost = running.get(0);
    stop(lost);
    String newVm = name(addresses.get(SEED_COUNT));
    awaitTrue(
        () ->
            running.stream()
                .anyMatch(s -> s.store().status().isLeader() && voters(s).contains(newVm)));
    ControlTables tables =
        leader()
            .store()
            .read()
            .toCompletableFuture()
            .get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .get();
    assertArrayEquals(DOCUMENT, tables.document().orElseThrow());
    assertEquals(SEED_COUNT, voters(leader()).size());
  }

  /** A command above the bound on elements was committed and stopped every replica for good. */
  @Test
  void commandThatNoReplicaCouldApplyIsRejectedBeforeItIsReplicated() throws Exception {
    for (int i = 0; i < SEED_COUNT; i++) {
      start(i);
    }
    propose(ControlState.documentCommand(4, new byte[] {4}));
    Map<String, Long> counts = new HashMap<>();
    for (int i = 0; i < 200_000; i++) {
      counts.put("customer " + i, 1L);
    }
    Either<Failure, Void> sealed =
        leader()
            .store()
            .propose(ControlState.sealCommand(1, counts))
            .toCompletableFuture()
            .get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(ResultCode.COMMAND_TOO_LARGE, sealed.getLeft().code());
    propose(ControlState.documentCommand(5, DOCUMENT));
    awaitTrue(() -> running.stream().allMatch(s -> s.store().tables().version() == 5));
  }

  @Test
  void highestDocumentAndClosedDomainsSurviveRestart() throws Exception {
    for (int i = 0; i < SEED_COUNT; i++) {
      start(i);
    }
    propose(ControlState.documentCommand(5, DOCUMENT));
    propose(ControlState.documentCommand(4, new byte[] {4}));
    propose(ControlState.documentCommand(5, new byte[] {5}));
    propose(ControlState.closeDomainCommand("a", true));
    propose(ControlState.closeDomainCommand("b", true));
    propose(ControlState.closeDomainCommand("a", false));
    List.copyOf(running).forEach(this::stop);
    for (int i = 0; i < SEED_COUNT; i++) {
      start(i);
    }
    propose(ControlState.closeDomainCommand("c", true));
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
      channel = PlainChannel.open(vm, CALL_TIMEOUT_MILLIS, CALL_TIMEOUT_MILLIS);
      channels.put(vm, channel);
    }
    return new Control.Client(
            new TMultiplexedProtocol(channel.protocol(), ControlService.SERVICE_NAME))
        .exchange(report);
  }

  /**
   * Lets many routers of a domain report to the leader, and returns whether it named their relay.
   */
  private boolean isRelayNamed(InetSocketAddress leader, String domain) {
    boolean named = false;
    for (int router = 0; router < ROUTER_COUNT; router++) {
      named |= exchangeUnchecked(leader, domain, router).isSetRelay();
    }
    return named;
  }

  /**
   * With many routers, the leader names a relay of their failure domain, which serves the leader's
   * view.
   */
  @Test
  void relayServesLeaderViewToRoutersOfItsDomain() throws Exception {
    for (int i = 0; i < SEED_COUNT; i++) {
      start(i);
    }
    propose(ControlState.documentCommand(5, DOCUMENT));
    int leader = running.indexOf(leader());
    int relay = (leader + 1) % SEED_COUNT;
    InetSocketAddress leaderAddress = addresses.get(leader);
    String domain = domain(relay);
    awaitTrue(() -> isRelayNamed(leaderAddress, domain));
    assertEquals(
        name(addresses.get(relay)), exchangeUnchecked(leaderAddress, domain, 0).getRelay());
    awaitTrue(
        () ->
            isRelayNamed(leaderAddress, domain)
                && exchangeUnchecked(addresses.get(relay), domain, ROUTER_COUNT).isRelays());
    awaitTrue(
        () -> {
          boolean named = isRelayNamed(leaderAddress, domain);
          ControlViewMessage view = exchangeUnchecked(addresses.get(relay), domain, ROUTER_COUNT);
          return named
              && view.isRelays()
              && view.getDocumentVersion() == 5
              && view.getOtherLoadsSize() == 1
              && view.getOtherLoads().get(0).getInFlight() >= ROUTER_COUNT - 1;
        });
    awaitTrue(() -> exchangeUnchecked(leaderAddress, domain, 0).getRouters() == ROUTER_COUNT + 1);
    assertFalse(
        exchangeUnchecked(addresses.get(relay), domain(leader), 0).isRelays(),
        "a relay serves no router of another domain");
  }

  private ControlViewMessage exchangeUnchecked(InetSocketAddress vm, String domain, int router) {
    try {
      return exchange(vm, domain, router);
    } catch (Exception e) {
      throw new AssertionError("control VM " + vm + " did not respond", e);
    }
  }

  /** Three VMs that tolerate the loss of two could lose a change that all of them acknowledged. */
  @Test
  void rejectsChangesUntilEnoughVotersHaveJoined() throws Exception {
    for (int i = 0; i < SEED_COUNT; i++) {
      start(i, 2);
    }
    awaitTrue(() -> running.stream().anyMatch(s -> s.store().status().isLeader()));
    Either<Failure, Void> tooEarly =
        leader()
            .store()
            .propose(ControlState.documentCommand(5, DOCUMENT))
            .toCompletableFuture()
            .get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(ResultCode.NOT_READY, tooEarly.getLeft().code());
    assertEquals(-1, leader().store().tables().version());
    start(SEED_COUNT, 2);
    start(SEED_COUNT + 1, 2);
    propose(ControlState.documentCommand(5, DOCUMENT));
    assertEquals(VM_COUNT, voters(leader()).size());
  }

  /** A VM whose data folder couldn't be created as it started ended its process. */
  @Test
  void vmWhoseDiskRefusesItsFolderAtTheStartJoinsOnceTheDiskWorks() throws Exception {
    Path blocker = Files.writeString(folder.resolve("disk"), "refuses folders");
    folder = blocker;
    ControlService late = start(0);
    assertEquals(Role.FAILED, late.store().status().role());
    assertEquals(
        ResultCode.STORAGE_FAILED,
        late.store()
            .read()
            .toCompletableFuture()
            .get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .getLeft()
            .code());
    assertFalse(exchange(addresses.get(0), domain(0), 0).isLeads());
    Files.delete(blocker);
    start(1);
    start(2);
    propose(ControlState.documentCommand(5, DOCUMENT));
    awaitTrue(() -> late.store().tables().version() == 5);
  }
}
