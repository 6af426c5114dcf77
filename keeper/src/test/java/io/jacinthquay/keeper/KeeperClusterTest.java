package io.jacinthquay.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.ApplyAnswer;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.FeedPosition;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests three keepers that run in one process. */
final class KeeperClusterTest {
  private static final Duration KEY_LEASE = Duration.ofMillis(800);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @TempDir Path folder;
  private final CertificateAuthority authority = CertificateAuthority.create();
  private final Map<String, InetSocketAddress> addresses = new TreeMap<>();
  private final Map<String, KeeperService> keepers = new TreeMap<>();
  private KeeperClient operator;

  @BeforeEach
  void start() throws IOException {
    for (String name : List.of("k1", "k2", "k3")) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        addresses.put(name, (InetSocketAddress) socket.getLocalSocketAddress());
      }
    }
    for (String name : addresses.keySet()) {
      Map<String, InetSocketAddress> peers = new TreeMap<>(addresses);
      peers.remove(name);
      KeeperService keeper =
          new KeeperService(
              new KeeperOptions(
                  name,
                  addresses.get(name),
                  folder.resolve(name),
                  identity(name, PeerRole.KEEPER),
                  peers,
                  KEY_LEASE,
                  64,
                  KeeperOptions.defaultLogOptions()));
      keeper.start();
      keepers.put(name, keeper);
    }
    operator = client(new ArrayList<>(addresses.values()), "ops", PeerRole.OPERATOR);
  }

  @AfterEach
  void stop() {
    operator.close();
    keepers.values().forEach(KeeperService::stop);
  }

  private TlsIdentity identity(String name, PeerRole role) throws IOException {
    Path tls = folder.resolve("tls-" + name);
    authority.issue(new PeerIdentity(name, role), tls);
    return TlsIdentity.load(tls);
  }

  private KeeperClient client(List<InetSocketAddress> to, String name, PeerRole role)
      throws IOException {
    return new KeeperClient(to, identity(name, role), TIMEOUT);
  }

  private static ApplyRequest leaving(String changeId, int confirmMillis) {
    EditMessage edit = new EditMessage("vm_states", "v").setJson("{\"leaving\":true}");
    return new ApplyRequest(changeId, -1, List.of(edit), confirmMillis);
  }

  private static FeedPosition position(long inForce) {
    return new FeedPosition("entry-1", "a", inForce, Map.of("entry-2", inForce));
  }

  @Test
  void changeIsConfirmedByReadersOfOtherKeepers() throws Exception {
    operator.call(k -> k.apply(leaving("c1", 0))).get();
    String follower = follower();
    try (KeeperClient reader =
        client(List.of(addresses.get(follower)), "entry-1", PeerRole.ROUTER)) {
      do {
        reader.call(k -> k.changes(position(0), 0)).get();
      } while (!operator.call(k -> k.status()).get().getInForce().containsKey("entry-2"));
      Thread pollingReader = new Thread(() -> poll(reader));
      pollingReader.start();

      ApplyAnswer answer = operator.call(k -> k.apply(leaving("c2", 15_000))).get();

      pollingReader.join();
      assertEquals(2, answer.getVersion());
      assertEquals(List.of("entry-1", "entry-2"), answer.getConfirmed());
      assertEquals(List.of(), answer.getNotConfirmed());
    }
  }

  private String follower() {
    String leader = operator.call(k -> k.status()).get().getLeader();
    return keepers.keySet().stream().filter(k -> !k.equals(leader)).findFirst().orElseThrow();
  }

  private static void poll(KeeperClient reader) {
    long inForce = 0;
    while (inForce < 2) {
      long known = inForce;
      inForce = reader.call(k -> k.changes(position(known), 200)).get().getNewest();
    }
    long last = inForce;
    reader.call(k -> k.changes(position(last), 0)).get();
  }

  @Test
  void keysAreNotCurrentWithoutAQuorum() throws IOException {
    operator.call(k -> k.apply(leaving("c1", 0))).get();
    String remaining = follower();
    try (KeeperClient reader =
        client(List.of(addresses.get(remaining)), "entry-1", PeerRole.ROUTER)) {
      ConfigPage page = reader.call(k -> k.changes(position(0), 200)).get();
      while (page.getKeysCurrentMillis() == 0) {
        page = reader.call(k -> k.changes(position(1), 200)).get();
      }
      keepers.forEach(
          (name, keeper) -> {
            if (!name.equals(remaining)) {
              keeper.stop();
            }
          });
      while (page.getKeysCurrentMillis() > 0) {
        page = reader.call(k -> k.changes(position(1), 200)).get();
        assertTrue(page.getKeysCurrentMillis() <= KEY_LEASE.toMillis());
      }
      assertEquals(1, page.getNewest(), "the local state must still be served");
    }
    TlsIdentity identity = identity("ops2", PeerRole.OPERATOR);
    try (KeeperClient withoutQuorum =
        new KeeperClient(List.of(addresses.get(remaining)), identity, Duration.ofSeconds(1))) {
      assertEquals(
          ResultCode.NO_QUORUM,
          withoutQuorum.call(k -> k.apply(leaving("c2", 0))).getLeft().code());
    }
  }
}
