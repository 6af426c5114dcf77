package io.jacinthquay.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An HTTP client for tests that writes and reads bytes on one connection. */
final class RawCaller implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 30_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  /** The head and body of a response. */
  record Response(String head, String body) {
    int status() {
      return Integer.parseInt(head.substring(9, 12));
    }

    /** Returns a header by its name in lower case, or an empty text if there is none. */
    String header(String name) {
      for (String line : head.split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
          return line.substring(name.length() + 1).strip();
        }
      }
      return "";
    }

    /** Returns the result code in the body, or 0 if there is none. */
    int code() {
      int start = body.indexOf("\"code\":");
      return start < 0 ? 0 : Integer.parseInt(body.substring(start + 7, start + 11));
    }
  }

  RawCaller(InetSocketAddress address) throws IOException {
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.connect(address, TIMEOUT_MILLIS);
    in = socket.getInputStream();
  }

  static String post(String path, String key, String body, String... headers) {
    return request("POST", path, key, body, headers);
  }

  static String get(String path, String key, String... headers) {
    return request("GET", path, key, "", headers);
  }

  private static String request(
      String method, String path, String key, String body, String... headers) {
    StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: jq\r\n");
    if (!key.isEmpty()) {
      text.append("Authorization: Bearer ").append(key).append("\r\n");
    }
    for (String header : headers) {
      text.append(header).append("\r\n");
    }
    if (!body.isEmpty()) {
      text.append("Content-Type: application/json\r\nContent-Length: ")
          .append(body.getBytes(StandardCharsets.UTF_8).length)
          .append("\r\n");
    }
    return text.append("\r\n").append(body).toString();
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  Response call(String text) throws IOException {
    send(text);
    return response();
  }

  /** Reads one response; a truncated body ends where the connection ended. */
  Response response() throws IOException {
    String head = head();
    Response headOnly = new Response(head, "");
    if (headOnly.header("transfer-encoding").equals("chunked")) {
      return new Response(head, chunks());
    }
    String length = headOnly.header("content-length");
    byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
    return new Response(head, new String(body, StandardCharsets.UTF_8));
  }

  String head() throws IOException {
    return until("\r\n\r\n");
  }

  /** Reads up to and including a text, or up to the end of the connection. */
  String until(String end) throws IOException {
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    byte[] endBytes = end.getBytes(StandardCharsets.UTF_8);
    int matched = 0;
    while (matched < endBytes.length) {
      int next = in.read();
      if (next < 0) {
        break;
      }
      read.write(next);
      matched = next == endBytes[matched] ? matched + 1 : next == endBytes[0] ? 1 : 0;
    }
    return read.toString(StandardCharsets.UTF_8);
  }

  private String chunks() throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      String size = until("\r\n").strip();
      if (size.isEmpty()) {
        return body.toString();
      }
      int count = Integer.parseInt(size, 16);
      body.append(new String(in.readNBytes(count), StandardCharsets.UTF_8));
      until("\r\n");
      if (count == 0) {
        return body.toString();
      }
    }
  }

  boolean isAtEnd() throws IOException {
    return in.read() < 0;
  }

  Socket socket() {
    return socket;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
