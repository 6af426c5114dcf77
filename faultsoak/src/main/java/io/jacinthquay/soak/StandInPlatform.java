package io.jacinthquay.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.runtime.settings.SocketAddresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** The platform's own interface: the list of upstreams, and duties, which it writes down. */
final class StandInPlatform implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final History history;
  private final Acceptor acceptor;
  private final Map<Integer, String> entries = new ConcurrentSkipListMap<>();

  StandInPlatform(History history) throws IOException {
    this.history = history;
    this.acceptor = new Acceptor(this::serve);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  /** Lists an upstream. */
  void list(int number, String id, InetSocketAddress address, boolean draining) {
    entries.put(
        number,
        "{\"id\":\""
            + id
            + "\",\"service\":\""
            + Documents.serviceOf(number)
            + "\",\"zone\":\""
            + Deployment.domain(number)
            + "\",\"slots\":16,\"state\":\""
            + (draining ? "draining" : "ready")
            + "\",\"cold_remaining_ms\":0,\"address\":\""
            + SocketAddresses.format(address)
            + "\"}");
  }

  void remove(int number) {
    entries.remove(number);
  }

  private void serve(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    while (true) {
      HttpWire.Head head = HttpWire.head(in);
      StringBuilder body = new StringBuilder();
      HttpWire.body(head, in, body::append);
      String path = head.second();
      if (path.startsWith("/usage") || path.startsWith("/scaling")) {
        note(path, head, body.toString());
      }
      String answer =
          path.startsWith("/instances")
              ? "{\"instances\":[" + String.join(",", entries.values()) + "],\"next\":null}"
              : "{}";
      socket
          .getOutputStream()
          .write(
              HttpWire.bytes(
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                      + answer.length()
                      + "\r\n\r\n"
                      + answer));
    }
  }

  private synchronized void note(String path, HttpWire.Head head, String body) throws IOException {
    JsonNode content = MAPPER.readTree(body);
    boolean usage = path.startsWith("/usage");
    String subject =
        usage
            ? "usage " + content.path("window_number").asLong()
            : "scaling " + content.path("service").asText() + " " + content.path("zone").asText();
    history.add(
        new History.Duty(
            subject,
            head.field("Duty-Holder"),
            head.number("Fencing-Token").orElse(-1),
            usage ? content.path("counts").toString() : body));
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }
}
