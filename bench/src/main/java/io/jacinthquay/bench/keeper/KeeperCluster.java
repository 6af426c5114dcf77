package io.jacinthquay.bench.keeper;

import io.jacinthquay.keeper.KeeperMain;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.testkit.process.JvmProcess;
import io.jacinthquay.wire.client.KeeperClient;
import io.jacinthquay.wire.gen.ApplyRequest;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.Keeper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A cluster of three keepers on the loopback interface, each in its own JVM. */
final class KeeperCluster implements AutoCloseable {
  static final int KEEPER_COUNT = 3;
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

  private final Path folder;
  private final CertificateAuthority authority = CertificateAuthority.create();
  private final int[] ports = new int[KEEPER_COUNT];
  private final JvmProcess[] keepers = new JvmProcess[KEEPER_COUNT];

  private KeeperCluster(Path folder) {
    this.folder = folder;
  }

  /**
   * Starts a cluster with empty data folders below a folder and waits for a leader.
   *
   * @throws IOException if a certificate cannot be written or a process cannot be started
   */
  static KeeperCluster start(Path folder) throws IOException {
    KeeperCluster cluster = new KeeperCluster(folder);
    cluster.choosePorts();
    for (int i = 0; i < KEEPER_COUNT; i++) {
      cluster.issue(name(i), PeerRole.KEEPER);
      cluster.start(i);
    }
    try (KeeperClient client = cluster.client("starter", PeerRole.OPERATOR)) {
      client.call(keeper -> keeper.history(1)).get();
    }
    return cluster;
  }

  /** Reserves all ports at once, so that no two keepers get the same one. */
  private void choosePorts() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < KEEPER_COUNT; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
  }

  static String name(int index) {
    return "k" + index;
  }

  private Path issue(String name, PeerRole role) throws IOException {
    Path tls = folder.resolve("tls-" + name);
    authority.issue(new PeerIdentity(name, role), tls);
    return tls;
  }

  /** Starts a keeper, also after it was killed. */
  void start(int index) throws IOException {
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < KEEPER_COUNT; i++) {
      if (i != index) {
        peers.add(name(i) + "=127.0.0.1:" + ports[i]);
      }
    }
    List<String> args =
        List.of(
            "--name=" + name(index),
            "--domain=a",
            "--listen=127.0.0.1:" + ports[index],
            "--data=" + folder.resolve(name(index)),
            "--tls=" + folder.resolve("tls-" + name(index)),
            "--peers=" + String.join(",", peers));
    keepers[index] = JvmProcess.start(KeeperMain.class, args, folder.resolve(name(index) + ".log"));
  }

  JvmProcess keeper(int index) {
    return keepers[index];
  }

  TlsIdentity identity(String name, PeerRole role) throws IOException {
    return TlsIdentity.load(issue(name, role));
  }

  InetSocketAddress address(int index) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[index]);
  }

  /** Returns a client of all keepers. */
  KeeperClient client(String name, PeerRole role) throws IOException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < KEEPER_COUNT; i++) {
      addresses.add(address(i));
    }
    return new KeeperClient(addresses, identity(name, role), CALL_TIMEOUT);
  }

  /** Returns a client of one keeper. */
  KeeperClient client(int index) throws IOException {
    TlsIdentity identity = identity("one-" + index, PeerRole.OPERATOR);
    return new KeeperClient(List.of(address(index)), identity, CALL_TIMEOUT);
  }

  /** Returns the index of the leader. */
  int leader(KeeperClient client) {
    client.call(keeper -> keeper.history(1)).get();
    String leader = client.call(Keeper.Iface::status).get().getLeader();
    return Integer.parseInt(leader.substring(1));
  }

  /** Commits one small change and waits for the result. */
  static void commit(KeeperClient client, String changeId) {
    EditMessage edit = new EditMessage("vm_states", "entry-1").setJson("{\"leaving\":true}");
    ApplyRequest request = new ApplyRequest(changeId, -1, List.of(edit), 0);
    client.call(keeper -> keeper.apply(request)).get();
  }

  @Override
  public void close() {
    for (JvmProcess keeper : keepers) {
      try {
        keeper.close();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
