package io.jacinthquay.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperCall;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ClaimResult;
import io.jacinthquay.wire.gen.FeedPosition;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.gen.OrderRecord;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.thrift.TException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that each call is allowed for its roles and rejected for all others. */
final class RolesTest {
  private static final ClaimRequest CLAIM = new ClaimRequest("a", "r", "k", "d", "1", "x/1");
  private static final ClaimResult RESULT =
      new ClaimResult(200, "text/plain", ByteBuffer.wrap(new byte[0]));
  private static final FeedPosition POSITION = new FeedPosition("x", "a", 0, Map.of());
  private static final OrderRecord ORDER = new OrderRecord("o", "l", 1, "a", "{}", false);

  @TempDir static Path folder;
  private static final Map<PeerRole, KeeperClient> CLIENTS = new EnumMap<>(PeerRole.class);
  private static KeeperService keeper;

  @BeforeAll
  static void start() throws IOException {
    CertificateAuthority authority = CertificateAuthority.create();
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Path tls = folder.resolve("k1");
    authority.issue(new PeerIdentity("k1", PeerRole.KEEPER), tls);
    keeper =
        new KeeperService(
            KeeperOptions.withoutPeers("k1", any, folder.resolve("data"), TlsIdentity.load(tls)));
    keeper.start();
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), keeper.port());
    for (PeerRole role : EnumSet.complementOf(EnumSet.of(PeerRole.KEEPER))) {
      authority.issue(new PeerIdentity("x", role), folder.resolve(role.text()));
      TlsIdentity identity = TlsIdentity.load(folder.resolve(role.text()));
      CLIENTS.put(role, new KeeperClient(List.of(address), identity, Duration.ofSeconds(10)));
    }
  }

  @AfterAll
  static void stop() {
    CLIENTS.values().forEach(KeeperClient::close);
    keeper.stop();
  }

  private static Arguments call(String name, KeeperCall<?> call, PeerRole... roles) {
    return Arguments.of(Named.of(name, call), Set.of(roles));
  }

  private static KeeperCall<Boolean> done(VoidCall call) {
    return keeper -> {
      call.on(keeper);
      return true;
    };
  }

  /** A call without a result. */
  private interface VoidCall {
    void on(Keeper.Iface keeper) throws TException;
  }

  static Stream<Arguments> calls() {
    PeerRole operator = PeerRole.OPERATOR;
    PeerRole router = PeerRole.ROUTER;
    PeerRole controller = PeerRole.CONTROLLER;
    ApplyRequest change = new ApplyRequest("c", 0, List.of(), 0);
    return Stream.of(
        call("changes", k -> k.changes(POSITION, 0), operator, router, controller),
        call("status", k -> k.status(), operator, router, controller),
        call("apply", k -> k.apply(change), operator),
        call("history", k -> k.history(1), operator),
        call("acquireLease", k -> k.acquireLease("l", "x/1", 1_000), controller),
        call("renewLease", k -> k.renewLease("l", "x/1", 1, 1_000), controller),
        call("releaseLease", done(k -> k.releaseLease("l", "x/1", 1)), controller),
        call("beginClaim", k -> k.beginClaim(CLAIM), router),
        call("completeClaim", done(k -> k.completeClaim(CLAIM, RESULT)), router),
        call("releaseClaim", done(k -> k.releaseClaim(CLAIM)), router),
        call("shipUsage", done(k -> k.shipUsage(List.of())), router),
        call("sealWindow", k -> k.sealWindow(0, 0, "l", 1), controller),
        call("sealedWindows", k -> k.sealedWindows(0, false, 1), controller, operator),
        call("markReported", done(k -> k.markReported(0, 0, "l", 1)), controller),
        call("openUsage", k -> k.openUsage(), controller, operator),
        call("recordOrder", done(k -> k.recordOrder(ORDER)), controller),
        call("completeOrder", done(k -> k.completeOrder("o", "l", 1)), controller),
        call("openOrders", k -> k.openOrders("a"), controller, operator));
  }

  @ParameterizedTest
  @MethodSource("calls")
  void callIsAllowedForItsRolesOnly(KeeperCall<?> call, Set<PeerRole> roles) {
    CLIENTS.forEach(
        (role, client) -> {
          boolean rejected =
              client.call(call).fold(f -> f.code() == ResultCode.NOT_AUTHORISED, answer -> false);
          assertEquals(!roles.contains(role), rejected, role.text());
        });
  }
}
