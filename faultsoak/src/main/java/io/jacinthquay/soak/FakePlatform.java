package io.jacinthquay.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.runtime.settings.SocketAddresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** A fake of the cloud platform's API: lists the upstreams, and records scaling and usage calls. */
final class FakePlatform implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads of the list that all VMs together may make in a second; others get 429. */
  static final int CALLS_PER_SECOND = 47;

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final History history;
  private final Acceptor acceptor;
  private final Map<Integer, String> entries = new ConcurrentSkipListMap<>();
  private final Deque<Long> reads = new ArrayDeque<>();
  private int refusedReads;

  FakePlatform(History history) throws IOException {
    this.history = history;
    this.acceptor = new Acceptor(this::serve);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  /** Adds an upstream to the list, or replaces its entry. */
  void listUpstream(
      int number, FakeUpstream.Lifetime lifetime, InetSocketAddress address, boolean draining) {
    entries.put(
        number,
        "{\"id\":\""
            + lifetime.id()
            + "\",\"version\":\""
            + lifetime.version()
            + "\",\"service\":\""
            + Documents.serviceOf(number)
            + "\",\"zone\":\""
            + Deployment.domain(number)
            + "\",\"slots\":16,\"state\":\""
            + (draining ? "draining" : "ready")
            + "\",\"cold_remaining_ms\":0,\"address\":\""
            + SocketAddresses.format(address)
            + "\"}");
    history.add(new History.Listed(number, !draining, System.nanoTime(), lifetime.version()));
  }

  /** Returns how many reads of the list were refused because there were too many. */
  synchronized int refusedReads() {
    return refusedReads;
  }

  /** Counts a read of the list; returns whether it is within the rate. */
  private synchronized boolean admitRead() {
    long now = System.nanoTime();
    while (!reads.isEmpty() && now - reads.getFirst() >= SECOND_NANOS) {
      reads.removeFirst();
    }
    if (reads.size() >= CALLS_PER_SECOND) {
      refusedReads++;
      return false;
    }
    reads.addLast(now);
    return true;
  }

  void removeUpstream(int number) {
    entries.remove(number);
    history.add(new History.Listed(number, false, System.nanoTime()));
  }

  private void serve(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    while (true) {
      HttpCodec.Head head = HttpCodec.readHead(in);
      StringBuilder body = new StringBuilder();
      HttpCodec.readBody(head, in, body::append);
      String path = head.secondWord();
      if (path.startsWith("/usage") || path.startsWith("/scaling")) {
        recordDuty(path, head, body.toString());
      }
      boolean isRead = path.startsWith("/instances");
      String status = isRead && !admitRead() ? "429 Too Many Requests" : "200 OK";
      String response =
          isRead
              ? "{\"instances\":[" + String.join(",", entries.values()) + "],\"next\":null}"
              : "{}";
      socket
          .getOutputStream()
          .write(
              HttpCodec.encode(
                  "HTTP/1.1 "
                      + status
                      + "\r\nContent-Type: application/json\r\nContent-Length: "
                      + response.length()
                      + "\r\n\r\n"
                      + response));
    }
  }

  private synchronized void recordDuty(String path, HttpCodec.Head head, String body)
      throws IOException {
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
            head.longField("Fencing-Token").orElse(-1),
            usage ? content.path("counts").toString() : body));
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }
}
