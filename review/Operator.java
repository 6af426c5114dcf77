package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** The operator: sends an order to any core machine, follows redirects and tries again. */
final class Operator {
  private final Stage stage;

  Operator(Stage stage) {
    this.stage = stage;
  }

  /** Sends an order until it is acknowledged; returns false after a time. */
  boolean order(String method, String path, String body, double forSeconds)
      throws IOException, InterruptedException {
    double until = Stage.seconds() + forSeconds;
    for (int node = 0; Stage.seconds() < until; node++) {
      int status = call(method, path, body, node % stage.controls());
      if (status >= 200 && status < 300) {
        stage.note("operator: %s %s acknowledged", method, path);
        return true;
      }
      if (status >= 400 && status < 500) {
        stage.note("operator: %s %s refused with %d", method, path, status);
        return false;
      }
      Thread.sleep(200);
    }
    stage.note("operator: %s %s has no acknowledgement", method, path);
    return false;
  }

  private int call(String method, String path, String body, int node) {
    try {
      InetSocketAddress address = stage.control(node);
      for (int redirects = 0; redirects <= 2; redirects++) {
        Http.Message answer = exchange(address, method, path, body);
        if (answer.status() != 307) {
          return answer.status();
        }
        URI location = URI.create(answer.header("location"));
        address = new InetSocketAddress(InetAddress.getByName(location.getHost()), location.getPort());
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }

  private static Http.Message exchange(
      InetSocketAddress address, String method, String path, String body) throws IOException {
    try (Http.Connection connection = new Http.Connection(address, 1_000)) {
      connection.send(
          method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n",
          body.getBytes(StandardCharsets.UTF_8));
      return connection.receive();
    }
  }
}
