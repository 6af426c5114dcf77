package io.jacinthquay.wire.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;

final class PlainServerTest {
  private static final int TIMEOUT_MILLIS = 1_000;

  private static InetSocketAddress freeAddress() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
      return new InetSocketAddress(loopback, socket.getLocalPort());
    }
  }

  private static boolean call(InetSocketAddress address) {
    try (PlainChannel channel = PlainChannel.open(address, TIMEOUT_MILLIS, TIMEOUT_MILLIS)) {
      channel.protocol().writeByte((byte) 1);
      channel.protocol().getTransport().flush();
      return channel.protocol().readByte() == 1;
    } catch (IOException | TException e) {
      return false;
    }
  }

  @Test
  void servesAgainAfterItsSelectorThreadFailed() throws Exception {
    InetSocketAddress address = freeAddress();
    AtomicInteger calls = new AtomicInteger();
    PlainServer server =
        new PlainServer(
            address,
            (in, out) -> {
              calls.incrementAndGet();
              out.writeByte(in.readByte());
              out.getTransport().flush();
            });
    server.start();
    try {
      assertTrue(call(address));
      interruptSelectors();
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      boolean served = false;
      while (!served && System.nanoTime() < end) {
        served = call(address);
      }
      assertTrue(served, "no call was served within 10 s");
    } finally {
      server.stop();
    }
  }

  private static PlainServer echo(InetSocketAddress address) {
    return new PlainServer(
        address,
        (in, out) -> {
          out.writeByte(in.readByte());
          out.getTransport().flush();
        });
  }

  /** A control VM ended if another socket held its inner port as it started. */
  @Test
  void servesOnceItsAddressIsFree() throws Exception {
    try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), holder.getLocalPort());
      PlainServer server = echo(address);
      server.start();
      TimeUnit.MILLISECONDS.sleep(300);
      holder.close();
      try {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        boolean served = false;
        while (!served && System.nanoTime() < end) {
          served = call(address);
        }
        assertTrue(served, "no call was served within 10 s");
      } finally {
        server.stop();
      }
    }
  }

  @Test
  void stoppedServerNoLongerWaitsForItsAddress() throws Exception {
    try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), holder.getLocalPort());
      PlainServer server = echo(address);
      server.start();
      server.stop();
      holder.close();
      TimeUnit.MILLISECONDS.sleep(1_500);
      assertFalse(call(address));
    }
  }

  /** Interrupts the thread that waits for the end of the selector, which ends the server. */
  private static void interruptSelectors() {
    Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().startsWith("thrift-"))
        .forEach(Thread::interrupt);
  }
}
