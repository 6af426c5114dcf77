package io.jacinthquay.soak;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Callers without a key that open many connections, send too little on each, and leave. */
final class HostileCallers {
  private static final Logger log = LogManager.getLogger();
  private static final int HEAD_CONNECTIONS = 3_000;
  private static final int HEAD_BYTES = 31 * 1024;
  private static final int PARTIAL_REQUEST_CONNECTIONS = 4_000;
  private static final long POLL_MILLIS = 20;

  /** Part of the descriptors that this process may open. */
  private static final int DESCRIPTORS_ONE_IN = 4;

  private HostileCallers() {}

  /** Sends heads without their end. */
  static void sendHeads(InetSocketAddress address, Fault fault)
      throws IOException, InterruptedException {
    String head = "GET /safe/head HTTP/1.1\r\nHost: " + Documents.HOST + "\r\n";
    StringBuilder text = new StringBuilder(head);
    for (int i = 0; text.length() < HEAD_BYTES; i++) {
      text.append("X-").append(i).append(": ").append("y".repeat(200)).append("\r\n");
    }
    send(address, HEAD_CONNECTIONS, text.substring(0, HEAD_BYTES), fault);
  }

  /** Sends three requests and a part of a fourth on each connection. */
  static void sendPartialRequests(InetSocketAddress address, Fault fault)
      throws IOException, InterruptedException {
    String request = "GET /safe/partial HTTP/1.1\r\nHost: " + Documents.HOST + "\r\n";
    String text = (request + "\r\n").repeat(3) + request;
    send(address, PARTIAL_REQUEST_CONNECTIONS, text, fault);
  }

  private static int maxConnections() {
    UnixOperatingSystemMXBean system =
        (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long free = system.getMaxFileDescriptorCount() - system.getOpenFileDescriptorCount();
    return (int) Math.min(Integer.MAX_VALUE, free / DESCRIPTORS_ONE_IN);
  }

  private static void send(InetSocketAddress address, int connections, String text, Fault fault)
      throws IOException, InterruptedException {
    ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fault.durationMillis());
    List<Connection> open = new ArrayList<>();
    try {
      for (int i = Math.min(connections, maxConnections()); i > 0; i--) {
        open.add(new Connection(address, bytes.duplicate()));
      }
      do {
        for (Iterator<Connection> i = open.iterator(); i.hasNext(); ) {
          Connection connection = i.next();
          if (!connection.proceed()) {
            connection.close();
            i.remove();
          }
        }
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } while (System.nanoTime() - end < 0);
    } finally {
      for (Connection connection : open) {
        connection.close();
      }
    }
  }

  /** A connection that is written to as far as the other side reads. */
  private static final class Connection {
    private final SocketChannel channel = SocketChannel.open();
    private final ByteBuffer unsent;

    Connection(InetSocketAddress address, ByteBuffer unsent) throws IOException {
      this.unsent = unsent;
      channel.configureBlocking(false);
      channel.connect(address);
    }

    /** Sends what can be sent; returns false if the connection failed. */
    boolean proceed() {
      try {
        if (channel.finishConnect() && unsent.hasRemaining()) {
          channel.write(unsent);
        }
        return true;
      } catch (IOException e) {
        log.debug("a hostile connection failed: {}", e.getMessage());
        return false;
      }
    }

    void close() throws IOException {
      channel.close();
    }
  }
}
