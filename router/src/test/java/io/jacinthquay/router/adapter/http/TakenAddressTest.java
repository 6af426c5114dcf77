package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.router.service.report.MetricsIntake;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A server whose addresses are held by other sockets as it starts; its process ended. */
@Timeout(60)
final class TakenAddressTest {
  private static final byte[] REQUEST =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private ServerSocket holder;
  private InetSocketAddress address;
  private CallerServer server;

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static CallerServer server(InetSocketAddress listen) {
    MetricsIntake intake = new MetricsIntake(new MetricRegistry());
    return new CallerServer(listen, 1, ListenerLimits.defaults(), intake);
  }

  private static String call(InetSocketAddress callee) throws IOException {
    try (Socket socket = new Socket(callee.getAddress(), callee.getPort())) {
      socket.getOutputStream().write(REQUEST);
      byte[] bytes = socket.getInputStream().readAllBytes();
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }
  }

  private static String callOnceOpen(InetSocketAddress callee) throws Exception {
    while (true) {
      try {
        return call(callee);
      } catch (ConnectException e) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
  }

  @BeforeEach
  void takeAddress() throws IOException {
    holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    address = loopback(holder.getLocalPort());
  }

  @AfterEach
  void stop() throws IOException {
    server.stop();
    holder.close();
  }

  @Test
  void serverListensOnceItsAddressIsFree() throws Exception {
    server = server(address);
    server.start();
    assertFalse(server.isListening());
    assertEquals(address.getPort(), server.port());
    holder.close();
    assertTrue(callOnceOpen(address).startsWith("HTTP/1.1 "));
    assertTrue(server.isListening());
  }

  @Test
  void takenFurtherAddressLeavesTheOthersServing() throws Exception {
    server = server(loopback(0));
    server.start();
    server.addListenAddress(address, new MetricsIntake(new MetricRegistry()));
    assertTrue(call(loopback(server.port())).startsWith("HTTP/1.1 "));
    holder.close();
    assertTrue(callOnceOpen(address).startsWith("HTTP/1.1 "));
  }

  @Test
  void stoppedServerNoLongerWaitsForItsAddress() throws Exception {
    server = server(address);
    server.start();
    server.stop();
    holder.close();
    TimeUnit.MILLISECONDS.sleep(1_500);
    assertThrows(ConnectException.class, () -> call(address));
    assertFalse(server.isListening());
  }
}
