package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 over sockets. */
final class Http {
  /** A request or a response; header names are in lower case. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    String word(int index) {
      return start.split(" ", 3)[index];
    }

    int status() {
      return Integer.parseInt(word(1));
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A kept connection of a client. */
  static final class Connection implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;
    private boolean begun;
    private double begunSeconds;

    Connection(InetSocketAddress address, int timeoutMillis) throws IOException {
      try {
        socket.setTcpNoDelay(true);
        socket.connect(address, 1_000);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
      } catch (IOException e) {
        socket.close();
        throw e;
      }
    }

    void send(String head, byte[] body) throws IOException {
      Http.send(socket.getOutputStream(), head, body);
    }

    Message receive() throws IOException {
      begun = false;
      in.mark(1);
      if (in.read() >= 0) {
        begun = true;
        begunSeconds = Stage.seconds();
        in.reset();
      }
      return Http.read(in);
    }

    /** Returns whether a byte of the last answer arrived. */
    boolean hasBegun() {
      return begun;
    }

    /** Returns when the first byte of the last answer arrived. */
    double begunSeconds() {
      return begunSeconds;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private Http() {}

  /** Writes a head, given without its end, and a body with its length. */
  static void send(OutputStream out, String head, byte[] body) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(
        (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
    bytes.writeBytes(body);
    out.write(bytes.toByteArray());
    out.flush();
  }

  /** Reads a message; a body ends by its length or its last chunk only. */
  static Message read(InputStream in) throws IOException {
    String start = line(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      int size;
      do {
        size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
        body.writeBytes(exactly(in, size));
        line(in);
      } while (size > 0);
    } else {
      body.writeBytes(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }
    return new Message(start, headers, body.toByteArray());
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the message ends early");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("the connection ended");
      }
      if (c != '\r') {
        text.append((char) c);
      }
    }
    return text.toString();
  }
}
