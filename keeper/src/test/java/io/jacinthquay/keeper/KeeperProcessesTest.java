package io.jacinthquay.keeper;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.ApplyAnswer;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.HistoryLine;
import io.jacinthquay.wire.gen.KeeperStatus;
import io.vavr.control.Either;
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
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests three keepers in separate processes, which are killed and restarted during changes. */
final class KeeperProcessesTest {
  private static final int CHANGES = 400;
  private static final int CHANGES_BETWEEN_KILLS = 80;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @TempDir Path folder;
  private final CertificateAuthority authority = CertificateAuthority.create();
  private final List<KeeperProcess> keepers = new ArrayList<>();
  private final Map<String, Long> acknowledged = new TreeMap<>();
  private TlsIdentity operator;
  private KeeperClient client;

  @BeforeEach
  void start() throws IOException {
    int[] ports = freePorts(3);
    for (int i = 0; i < ports.length; i++) {
      String name = "k" + (i + 1);
      authority.issue(new PeerIdentity(name, PeerRole.KEEPER), folder.resolve("tls-" + name));
      keepers.add(new KeeperProcess(name, ports[i], peersOf(i, ports), folder));
    }
    authority.issue(new PeerIdentity("ops", PeerRole.OPERATOR), folder.resolve("tls-ops"));
    operator = TlsIdentity.load(folder.resolve("tls-ops"));
    for (KeeperProcess keeper : keepers) {
      keeper.start();
    }
    client = new KeeperClient(keepers.stream().map(this::address).toList(), operator, TIMEOUT);
  }

  private static String peersOf(int self, int[] ports) {
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < ports.length; i++) {
      if (i != self) {
        peers.add("k" + (i + 1) + "=127.0.0.1:" + ports[i]);
      }
    }
    return String.join(",", peers);
  }

  private static int[] freePorts(int count) throws IOException {
    ServerSocket[] sockets = new ServerSocket[count];
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = sockets[i].getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private InetSocketAddress address(KeeperProcess keeper) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), keeper.port());
  }

  @AfterEach
  void stop() throws InterruptedException {
    client.close();
    for (KeeperProcess keeper : keepers) {
      keeper.close();
    }
  }

  @Test
  void acknowledgedChangesAreNotLostWhenKeepersAreKilled() throws Exception {
    EditMessage quick = set("classes", "q", "{\"name\":\"q\",\"tier\":0,\"first_token_ms\":300}");
    EditMessage atlas = set("customers", "a", "{\"name\":\"a\",\"default_class\":\"q\"}");
    apply("first", 0, List.of(quick, atlas));
    for (int i = 1; i <= CHANGES; i++) {
      String digest = KeyDigest.ofKey("key " + i).hex();
      apply("c" + i, -1, List.of(set("keys", digest, "{\"customer\":\"a\"}")));
      if (i % CHANGES_BETWEEN_KILLS == 0) {
        killAndRestart(i / CHANGES_BETWEEN_KILLS % 2 == 1);
      }
    }

    Map<String, Long> history =
        client.call(k -> k.history(10_000)).get().stream()
            .collect(Collectors.toMap(HistoryLine::getChangeId, HistoryLine::getVersion));
    assertEquals(1 + CHANGES + CHANGES / CHANGES_BETWEEN_KILLS, acknowledged.size());
    assertEquals(acknowledged, new TreeMap<>(history));
    checkEveryKeeperRecovers();
  }

  private static EditMessage set(String section, String name, String json) {
    return new EditMessage(section, name).setJson(json);
  }

  private void apply(String changeId, long expected, List<EditMessage> edits) {
    ApplyRequest request = new ApplyRequest(changeId, expected, edits, 0);
    Either<Failure, ApplyAnswer> answer = client.call(k -> k.apply(request));
    assertTrue(answer.isRight(), () -> changeId + ": " + answer.getLeft());
    acknowledged.put(changeId, answer.get().getVersion());
  }

  private void killAndRestart(boolean killLeader) throws Exception {
    String leader = client.call(k -> k.status()).get().getLeader();
    KeeperProcess keeper =
        keepers.stream()
            .filter(k -> k.name().equals(leader) == killLeader)
            .findFirst()
            .orElseThrow();
    keeper.kill();
    apply("while-" + acknowledged.size(), -1, List.of(set("vm_states", "v", "{\"leaving\":true}")));
    keeper.start();
  }

  private void checkEveryKeeperRecovers() {
    long version = acknowledged.values().stream().mapToLong(v -> v).max().orElseThrow();
    for (KeeperProcess keeper : keepers) {
      try (KeeperClient single = new KeeperClient(List.of(address(keeper)), operator, TIMEOUT)) {
        assertTrue(
            single.call(k -> k.history(1)).isRight(), keeper.name() + " must read with a quorum");
        KeeperStatus status = single.call(k -> k.status()).get();
        assertEquals(version, status.getConfigVersion(), keeper.name());
      }
    }
  }
}
