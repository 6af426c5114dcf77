package io.jacinthquay.soak;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/** Reads single values from the metrics of a program. */
final class MetricsReader {
  private static final int TIMEOUT_MILLIS = 500;

  private MetricsReader() {}

  /** Returns the value of a metric without labels; empty if the program does not tell it. */
  static OptionalLong read(InetSocketAddress address, String name) {
    String url = "http://" + address.getHostString() + ":" + address.getPort() + "/metrics";
    try {
      HttpURLConnection connection = (HttpURLConnection) URI.create(url).toURL().openConnection();
      connection.setConnectTimeout(TIMEOUT_MILLIS);
      connection.setReadTimeout(TIMEOUT_MILLIS);
      try (var body = connection.getInputStream()) {
        return new String(body.readAllBytes(), StandardCharsets.UTF_8)
            .lines()
            .filter(line -> line.startsWith(name + " "))
            .mapToLong(line -> Long.parseLong(line.substring(name.length()).trim()))
            .findFirst();
      } finally {
        connection.disconnect();
      }
    } catch (IOException e) {
      return OptionalLong.empty();
    }
  }
}
