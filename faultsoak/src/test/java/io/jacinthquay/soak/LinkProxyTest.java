package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.net.Socket;
import org.junit.jupiter.api.Test;

final class LinkProxyTest {
  private static final int THREADS = 60;
  private static final int CONNECTIONS = 40;

  /** Connections that wait for new threads are late on a busy machine. */
  @Test
  void connectionsDoNotWaitForNewThreads() throws Exception {
    ConnectionThreads.prepare(THREADS);
    try (Acceptor server = new Acceptor(socket -> socket.getOutputStream().write(1));
        LinkProxy link = new LinkProxy(server::address)) {
      long startedBefore = startedThreads();
      for (int i = 0; i < CONNECTIONS; i++) {
        try (Socket client = new Socket(link.address().getAddress(), link.address().getPort())) {
          assertEquals(1, client.getInputStream().read());
        }
      }
      long started = startedThreads() - startedBefore;
      assertTrue(started < CONNECTIONS / 2, started + " threads were started");
    }
  }

  private static long startedThreads() {
    return ManagementFactory.getThreadMXBean().getTotalStartedThreadCount();
  }
}
