package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** The platform's API: the list of replicas, and the calls of singleton duties. */
final class Platform implements AutoCloseable {
  private final Stage stage;
  private final Listener listener;
  private final Map<String, String> entries = new ConcurrentSkipListMap<>();
  private volatile boolean silent;

  Platform(Stage stage) throws IOException {
    this.stage = stage;
    this.listener = new Listener(stage.cloud(), this::serve);
  }

  /** Lists a replica, or replaces its entry. */
  void list(Replica replica, String state) {
    entries.put(
        replica.id(),
        String.format(
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"id\":\"%s\"}",
            replica.service(),
            replica.address().getAddress().getHostAddress(),
            replica.address().getPort(),
            replica.zone(),
            replica.slots(),
            state,
            replica.id()));
  }

  void remove(Replica replica) {
    entries.remove(replica.id());
  }

  /** Leaves calls without an answer until it is turned off again. */
  void silence(boolean on) {
    silent = on;
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    while (true) {
      Http.Message request = Http.read(in);
      while (silent) {
        Thread.sleep(20);
      }
      String path = request.word(1);
      String body = "{}";
      if (path.startsWith("/instances")) {
        body = "{\"instances\":[" + String.join(",", entries.values()) + "],\"next\":null}";
      } else {
        stage.note(
            "platform gets %s holder=%s fence=%s %s",
            path,
            request.header("duty-holder"),
            request.header("fencing-token"),
            request.text());
      }
      Http.send(
          socket.getOutputStream(),
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
          body.getBytes(StandardCharsets.UTF_8));
      if (request.header("connection").equalsIgnoreCase("close")) {
        return;
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
