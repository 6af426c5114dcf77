package io.jacinthquay.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperCall;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.ApplyAnswer;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.jacinthquay.wire.gen.ClaimRequest;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.FeedPosition;
import io.jacinthquay.wire.gen.LeaseGrant;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class KeeperServiceTest {
  private static final String CLASS_JSON = "{\"name\":\"quick\",\"tier\":0,\"first_token_ms\":350}";
  private static final String CUSTOMER_JSON = "{\"name\":\"atlas\",\"default_class\":\"quick\"}";

  private final CertificateAuthority authority = CertificateAuthority.create();
  private final List<KeeperClient> clients = new ArrayList<>();
  @TempDir Path folder;
  private KeeperService keeper;

  @BeforeEach
  void start() throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    keeper =
        new KeeperService(
            KeeperOptions.withoutPeers(
                "k1", any, folder.resolve("data"), identity("k1", PeerRole.KEEPER)));
    keeper.start();
  }

  @AfterEach
  void stop() {
    clients.forEach(KeeperClient::close);
    keeper.stop();
  }

  private TlsIdentity identity(String name, PeerRole role) throws IOException {
    Path tls = folder.resolve(name + role.text());
    authority.issue(new PeerIdentity(name, role), tls);
    return TlsIdentity.load(tls);
  }

  private KeeperClient client(String name, PeerRole role) throws IOException {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), keeper.port());
    KeeperClient client =
        new KeeperClient(List.of(address), identity(name, role), Duration.ofSeconds(10));
    clients.add(client);
    return client;
  }

  private static ApplyRequest request(String changeId, long expected, EditMessage... edits) {
    return new ApplyRequest(changeId, expected, List.of(edits), 0);
  }

  private static EditMessage edit(String section, String name, String json) {
    return new EditMessage(section, name).setJson(json);
  }

  private static ApplyRequest firstPolicy() {
    return request(
        "c1", 0, edit("classes", "quick", CLASS_JSON), edit("customers", "atlas", CUSTOMER_JSON));
  }

  @Test
  void changeReachesReadersAndKeysAreCurrent() throws IOException {
    KeeperClient operator = client("ops", PeerRole.OPERATOR);
    KeeperClient router = client("entry-1", PeerRole.ROUTER);

    ApplyAnswer answer = operator.call(k -> k.apply(firstPolicy())).get();
    FeedPosition start = new FeedPosition("entry-1", "a", 0, Map.of());
    ConfigPage page = router.call(k -> k.changes(start, 1_000)).get();

    assertEquals(1, answer.getVersion());
    assertEquals(1, page.getNewest());
    assertEquals(2, page.getChanges().get(0).getEditsSize());
    FeedPosition next = new FeedPosition("entry-1", "a", 1, Map.of());
    ConfigPage idle = router.call(k -> k.changes(next, 1_000)).get();
    assertTrue(idle.getKeysCurrentMillis() > 0, () -> "keys current: " + idle);
    assertEquals(1, keeper.status().getInForce().get("entry-1"));
  }

  @Test
  void secondChangeWithTheSameExpectedVersionFailsAndAResendGetsTheSameAnswer() throws IOException {
    KeeperClient operator = client("ops", PeerRole.OPERATOR);
    ApplyRequest conflicting = request("c2", 0, edit("classes", "quick", CLASS_JSON));

    assertEquals(1, operator.call(k -> k.apply(firstPolicy())).get().getVersion());
    Failure conflict = operator.call(k -> k.apply(conflicting)).getLeft();
    ApplyAnswer resent = operator.call(k -> k.apply(firstPolicy())).get();

    assertEquals(ResultCode.CONFIG_VERSION_CONFLICT, conflict.code());
    assertEquals(1, resent.getVersion());
    assertTrue(resent.isResent());
  }

  @Test
  void withdrawnKeyCannotBeReissuedOrRemoved() throws IOException {
    KeeperClient operator = client("ops", PeerRole.OPERATOR);
    String digest = KeyDigest.ofKey("secret").hex();
    String issued = "{\"customer\":\"atlas\"}";
    String withdrawn = "{\"customer\":\"atlas\",\"withdrawn\":true}";
    operator.call(k -> k.apply(firstPolicy())).get();
    operator.call(k -> k.apply(request("c2", -1, edit("keys", digest, issued)))).get();
    operator.call(k -> k.apply(request("c3", -1, edit("keys", digest, withdrawn)))).get();

    Failure reissued =
        operator.call(k -> k.apply(request("c4", -1, edit("keys", digest, issued)))).getLeft();
    Failure removed =
        operator.call(k -> k.apply(request("c5", -1, new EditMessage("keys", digest)))).getLeft();

    assertEquals(ResultCode.KEY_EXISTS, reissued.code());
    assertEquals(ResultCode.CONFIG_INVALID, removed.code());
  }

  @Test
  void leaseHasOneHolderAndSurvivesARestart() throws IOException {
    KeeperClient first = client("ctl-1", PeerRole.CONTROLLER);
    LeaseGrant grant = first.call(k -> k.acquireLease("usage/0", "ctl-1/a", 30_000)).get();
    first.close();
    keeper.stop();
    start();
    KeeperClient second = client("ctl-2", PeerRole.CONTROLLER);

    Failure held = second.call(k -> k.acquireLease("usage/0", "ctl-2/b", 30_000)).getLeft();

    assertEquals(1, grant.getFencing());
    assertEquals(ResultCode.LEASE_HELD, held.code());
  }

  @ParameterizedTest
  @EnumSource(
      value = PeerRole.class,
      names = {"ROUTER", "CONTROLLER"})
  void onlyOperatorsMayChangeTheConfiguration(PeerRole role) throws IOException {
    Either<Failure, ApplyAnswer> answer = client("x", role).call(k -> k.apply(firstPolicy()));

    assertEquals(ResultCode.NOT_AUTHORISED, answer.getLeft().code());
  }

  @Test
  void peersMayNotActUnderAnotherName() throws IOException {
    KeeperClient controller = client("ctl-1", PeerRole.CONTROLLER);
    KeeperClient router = client("entry-1", PeerRole.ROUTER);
    ClaimRequest claim = new ClaimRequest("atlas", "book", "k", "d", "r1", "entry-2/9");
    KeeperCall<LeaseGrant> acquireForAnother = k -> k.acquireLease("usage/0", "ctl-10/a", 1_000);

    assertEquals(ResultCode.NOT_AUTHORISED, controller.call(acquireForAnother).getLeft().code());
    assertEquals(ResultCode.NOT_AUTHORISED, router.call(k -> k.beginClaim(claim)).getLeft().code());
  }

  @Test
  void peerWithACertificateOfAnotherAuthorityIsRejected() throws IOException {
    CertificateAuthority other = CertificateAuthority.create();
    Path tls = folder.resolve("stranger");
    other.issue(new PeerIdentity("ops", PeerRole.OPERATOR), tls);
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), keeper.port());
    try (KeeperClient untrusted =
        new KeeperClient(List.of(address), TlsIdentity.load(tls), Duration.ofMillis(300))) {

      assertFalse(untrusted.call(k -> k.status()).isRight());
    }
  }
}
