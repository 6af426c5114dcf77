package io.jacinthquay.wire.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

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

  /** A message that arrives in pieces is held back from Thrift until it is almost whole. */
  @ParameterizedTest
  @CsvSource({"1, 1", "2, 1", "300, 7", "5000, 1", "100000, 4096"})
  void servesMessagesThatArriveInPieces(int length, int pieceBytes) throws Exception {
    InetSocketAddress address = freeAddress();
    PlainServer server = new PlainServer(address, (in, out) -> answerLast(length, in, out));
    server.start();
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setTcpNoDelay(true);
      for (byte call = 1; call <= 2; call++) {
        byte[] message = ByteBuffer.allocate(Integer.BYTES + length).putInt(length).array();
        message[message.length - 1] = call;
        for (int from = 0; from < message.length; from += pieceBytes) {
          socket
              .getOutputStream()
              .write(message, from, Math.min(pieceBytes, message.length - from));
        }
        assertArrayEquals(new byte[] {0, 0, 0, 1, call}, socket.getInputStream().readNBytes(5));
      }
    } finally {
      server.stop();
    }
  }

  private static void answerLast(int length, TProtocol in, TProtocol out) throws TException {
    byte last = 0;
    for (int i = 0; i < length; i++) {
      last = in.readByte();
    }
    out.writeByte(last);
    out.getTransport().flush();
  }

  /** Connections that stop within large messages used up the memory for messages. */
  @Test
  void stalledMessagesMakeRoomForOthers() throws Exception {
    InetSocketAddress address = freeAddress();
    PlainServer server = echo(address);
    server.start();
    List<Socket> stalled = new ArrayList<>();
    try {
      byte[] part = new byte[12 << 20];
      ByteBuffer.wrap(part).putInt(14 << 20);
      for (int i = 0; i < 6; i++) {
        stalled.add(new Socket(address.getAddress(), address.getPort()));
        stalled.get(i).getOutputStream().write(part);
      }
      assertTrue(call(address));
      assertTrue(server.closedConnections() > 0);
    } finally {
      for (Socket socket : stalled) {
        socket.close();
      }
      server.stop();
    }
  }

  /** Interrupts the thread that waits for the end of the selector, which ends the server. */
  private static void interruptSelectors() {
    Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().startsWith("thrift-"))
        .forEach(Thread::interrupt);
  }
}
