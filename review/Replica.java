package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica: runs each request that names it, and answers plainly or by a stream. */
final class Replica implements AutoCloseable {
  /** What happens to a request once it runs; returns false to end the connection. */
  interface Work {
    boolean run(Replica replica, Http.Message request, OutputStream out)
        throws IOException, InterruptedException;
  }

  private final Stage stage;
  private final String id;
  private final String service;
  private final InetSocketAddress address;
  private final String zone;
  private final int slots;
  private final Work work;
  private final Semaphore free;
  private final AtomicInteger runs = new AtomicInteger();
  private final Listener listener;

  Replica(Stage stage, int index, String service, int slots, Work work) throws IOException {
    this.stage = stage;
    this.id = String.format("i-%08x", 0x7f3a9000 + index);
    this.service = service;
    this.address = stage.replica(index);
    this.zone = Stage.zone(index);
    this.slots = slots;
    this.work = work;
    this.free = new Semaphore(slots);
    this.listener = new Listener(address, this::serve);
  }

  String id() {
    return id;
  }

  String service() {
    return service;
  }

  InetSocketAddress address() {
    return address;
  }

  String zone() {
    return zone;
  }

  int slots() {
    return slots;
  }

  int runs() {
    return runs.get();
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    OutputStream out = socket.getOutputStream();
    while (true) {
      Http.Message request = Http.read(in);
      String attempt = request.header("attempt-id");
      if (!request.header("expected-instance").isEmpty()
          && !request.header("expected-instance").equals(id)) {
        refuse(out, attempt, 421);
      } else if (!free.tryAcquire()) {
        refuse(out, attempt, 503);
      } else {
        boolean open;
        try {
          runs.incrementAndGet();
          stage.note("replica %s runs %s", id, attempt);
          open = work.run(this, request, out);
        } finally {
          free.release();
        }
        if (!open) {
          return;
        }
      }
    }
  }

  private static void refuse(OutputStream out, String attempt, int status) throws IOException {
    Http.send(
        out,
        "HTTP/1.1 " + status + " Refused\r\nNot-Executed: 1\r\nAttempt-Id: " + attempt + "\r\n",
        new byte[0]);
  }

  /** Answers after a time of work, by a body with its length. */
  static Work plain(int millis, int bytes) {
    return (replica, request, out) -> {
      Thread.sleep(millis);
      Http.send(out, head(replica, request, "application/json"), new byte[bytes]);
      return true;
    };
  }

  static String head(Replica replica, Http.Message request, String type) {
    return "HTTP/1.1 200 OK\r\nContent-Type: "
        + type
        + "\r\nAttempt-Id: "
        + request.header("attempt-id")
        + "\r\nResponse-Signature: "
        + replica.id
        + "."
        + request.header("attempt-id")
        + "\r\n";
  }

  /**
   * Answers by a chunked stream of events.
   *
   * @param firstMillis time to the first event
   * @param pauseMillis time between two events
   * @param headers further headers of the answer
   */
  static Work stream(int events, int firstMillis, int pauseMillis, String headers) {
    return (replica, request, out) -> {
      Thread.sleep(firstMillis);
      String head = head(replica, request, "text/event-stream") + headers;
      out.write((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.UTF_8));
      for (int event = 1; event <= events; event++) {
        if (event > 1) {
          Thread.sleep(pauseMillis);
        }
        String text = "id: " + event + "\ndata: " + "x".repeat(60) + "\n\n";
        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        out.write(chunk.getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      out.flush();
      return true;
    };
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
