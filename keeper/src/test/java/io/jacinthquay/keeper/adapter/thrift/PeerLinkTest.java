package io.jacinthquay.keeper.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.wire.gen.ReaderReport;
import io.jacinthquay.wire.transport.PlainChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against votes and heartbeats that are lost over a dead connection. The peer accepts
 * connections and never answers, as a network does that has lost the state of a connection.
 */
final class PeerLinkTest {
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final long INTERVAL_MILLIS = 50;
  private static final ReplicaId SELF = new ReplicaId(new MemberId("a"), 1);
  private static final ReplicaId PEER = new ReplicaId(new MemberId("b"), 1);
  private static final Message MESSAGE = new Message.PreVoteRequest(SELF, PEER, 2, 1, 1);

  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private ServerSocket server;
  private PeerLink link;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::accept, "accept");
    acceptor.setDaemon(true);
    acceptor.start();
    InetSocketAddress address =
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    link =
        new PeerLink("b", address, peer -> PlainChannel.open(peer, TIMEOUT_MILLIS, TIMEOUT_MILLIS));
    link.start();
  }

  @AfterEach
  void stop() throws IOException {
    link.stop();
    server.close();
    for (Socket socket : accepted) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        accepted.add(server.accept());
      }
    } catch (IOException e) {
      // The test has ended.
      return;
    }
  }

  private void sendFor(long millis, boolean answered) throws InterruptedException {
    for (long sent = 0; sent < millis; sent += INTERVAL_MILLIS) {
      link.send(MESSAGE);
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
      if (answered) {
        link.recordHeard();
      }
    }
  }

  @Test
  void voteAfterAPauseUsesANewConnection() throws Exception {
    sendFor(100, true);
    assertEquals(1, accepted.size());
    TimeUnit.MILLISECONDS.sleep(1_500);
    sendFor(100, true);
    assertEquals(2, accepted.size());
  }

  @Test
  void connectionIsReplacedIfThePeerIsNotHeard() throws Exception {
    sendFor(900, false);
    assertTrue(accepted.size() >= 2, accepted.size() + " connections");
  }

  /** A follower reports readers to another one that has nothing to send. */
  @Test
  void reportsAloneKeepTheConnection() throws Exception {
    for (int sent = 0; sent < 20; sent++) {
      link.send(List.of(new ReaderReport()));
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
    }
    assertEquals(1, accepted.size());
  }

  @Test
  void connectionIsKeptWhileThePeerIsHeard() throws Exception {
    sendFor(1_500, true);
    assertEquals(1, accepted.size());
  }
}
