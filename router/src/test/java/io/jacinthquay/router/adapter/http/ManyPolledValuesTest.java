package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A router ended as the trees of polled JSON took many times the memory of its text. */
@Timeout(120)
final class ManyPolledValuesTest {
  /** A body that a heap of 96 MB has memory for. */
  private static final int TEXT_BYTES = 2_500_000;

  private enum Body {
    LISTS_BESIDE("{\"other\":[", "[]", "]}"),
    OBJECTS_BESIDE("{\"other\":[", "{}", "]}"),
    EVENTS("{\"events\":[", "{\"prefix\":\"1\"}", "]}"),
    OBJECTS_IN_AN_EVENT("{\"events\":[{\"prefix\":\"1\",\"other\":[", "{}", "]}]}"),
    OBJECTS_IN_AN_ENTRY("{\"vms\":[{\"name\":\"v\",\"models\":[", "{}", "]}]}");

    private final byte[] bytes;

    Body(String opening, String repeated, String end) {
      int count = TEXT_BYTES / (repeated.length() + 1);
      String text = opening + (repeated + ",").repeat(count) + repeated + end;
      bytes = text.getBytes(StandardCharsets.US_ASCII);
    }
  }

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private HttpServer faulty;
  private HttpServer valid;

  private HttpServer serve(byte[] body) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    return server;
  }

  @AfterEach
  void stop() {
    faulty.stop(0);
    valid.stop(0);
    threads.shutdownNow();
  }

  @ParameterizedTest
  @EnumSource
  void routerOutlivesPolledTextsOfManyValues(Body body) throws Exception {
    faulty = serve(body.bytes);
    valid = serve("{\"running\":1}".getBytes(StandardCharsets.US_ASCII));
    Process poller =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxDirectMemorySize=64m",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                SmallHeapPoller.class.getName(),
                Integer.toString(faulty.getAddress().getPort()),
                Integer.toString(valid.getAddress().getPort()))
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    try {
      assertTrue(poller.waitFor(100, TimeUnit.SECONDS), "the process goes on");
      assertEquals(0, poller.exitValue(), "the process ended");
    } finally {
      poller.destroyForcibly().waitFor();
    }
  }
}
