package io.jacinthquay.router;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.router.RawCaller.Response;
import io.jacinthquay.testkit.engine.EngineRun;
import io.jacinthquay.testkit.plain.PlainFault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays recorded sessions through a router and compares the results.
 *
 * <p>With the system property {@code golden.write} the files are overwritten instead of compared;
 * review the difference before you commit it.
 */
class GoldenSessionTest {
  private static final boolean WRITE_FILES = Boolean.getBoolean("golden.write");

  /** Fields of the request log that differ between runs. */
  private static final List<String> VARYING_FIELDS =
      List.of("request_id", "first_byte_us", "whole_us");

  static Stream<String> names() throws IOException {
    return GoldenSession.names();
  }

  @ParameterizedTest
  @MethodSource("names")
  void sessionMatchesTheRecording(String name) throws IOException {
    GoldenSession recorded = GoldenSession.read(name);
    GoldenSession replayed = replay(recorded);
    if (WRITE_FILES) {
      replayed.write(name);
    } else {
      assertEquals(recorded, replayed);
    }
  }

  private static GoldenSession replay(GoldenSession session) throws IOException {
    RequestLogCapture logCapture = new RequestLogCapture(session.path());
    logCapture.start();
    try (RouterFixture fixture = new RouterFixture()) {
      setUp(session.setup(), fixture);
      int ranBefore = fixture.plain.runs().size();
      Response response;
      try (RawCaller caller = new RawCaller(fixture.address())) {
        response = caller.call(session.requestOnTheWire());
      }
      RouterFixture.await(() -> !logCapture.lines().isEmpty());
      String received = normalizeResponse(response.head().strip() + "\n\n" + response.body());
      String log = String.join("\n", logCapture.lines());
      return new GoldenSession(
          session.setup(), session.request(), upstreamRequests(fixture, ranBefore), received, log);
    } finally {
      logCapture.stop();
    }
  }

  private static void setUp(String setup, RouterFixture fixture) throws IOException {
    switch (setup) {
      case "none" -> {}
      case "die-after-2-tokens" -> fixture.engine.faults().dieAfterTokens(2);
      case "cross-events" -> fixture.engine.faults().mismatchEventIds(true);
      case "plain-dies-before-answer" -> fixture.plain.setFault(PlainFault.DIE_BEFORE_ANSWER);
      case "withdraw-key" -> withdrawKey(fixture);
      default -> throw new IllegalArgumentException("unknown setup: " + setup);
    }
  }

  private static void withdrawKey(RouterFixture fixture) {
    fixture.config.withdraw(RouterFixture.KEY, "atlas");
    RouterFixture.await(() -> status(fixture) == 401);
  }

  private static int status(RouterFixture fixture) {
    try (RawCaller caller = new RawCaller(fixture.address())) {
      return caller.call(RawCaller.get("/tickets/1", RouterFixture.KEY)).status();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /**
   * Returns the requests that upstreams received, without those of the setup to the plain service.
   */
  private static String upstreamRequests(RouterFixture fixture, int ranBefore) {
    List<String> requests = new ArrayList<>();
    for (EngineRun run : fixture.engine.runs()) {
      requests.add(normalizeHeaders(run.headers()) + "\n\n" + run.body());
    }
    fixture.plain.runs().stream()
        .skip(ranBefore)
        .forEach(run -> requests.add(run.method() + " " + run.target()));
    return normalize(String.join("\n\n", requests)).strip();
  }

  private static String normalizeHeaders(String text) {
    return Arrays.stream(text.split("\n"))
        .map(line -> line.toLowerCase(Locale.ROOT).startsWith("host") ? "Host: <upstream>" : line)
        .sorted(String.CASE_INSENSITIVE_ORDER)
        .collect(Collectors.joining("\n"));
  }

  /** Replaces values that differ between runs with placeholders. */
  private static String normalize(String text) {
    return text.replace("\r\n", "\n")
        .replaceAll("entry-1/[0-9a-f]+-[0-9a-z]+", "<request>")
        .replaceAll("(?m)^(?i)date:.*\n", "")
        .replaceAll("(?m)^(?i)retry-after:.*\n", "Retry-After: <seconds>\n");
  }

  /** Also replaces the length of a response, which depends on the length of the request id. */
  private static String normalizeResponse(String text) {
    return normalize(text)
        .replaceAll("(?m)^Content-Length: .*$", "Content-Length: <length>")
        .strip();
  }

  /** Captures the lines of the request log for one path. */
  private static final class RequestLogCapture extends AbstractAppender {
    private final String path;
    private final List<String> lines = new ArrayList<>();
    private final Logger logger = (Logger) LogManager.getLogger("io.jacinthquay.request");

    RequestLogCapture(String path) {
      super("request-lines", null, null, false, Property.EMPTY_ARRAY);
      this.path = path;
    }

    @Override
    public void start() {
      super.start();
      logger.setLevel(Level.INFO);
      logger.addAppender(this);
    }

    @Override
    public void stop() {
      logger.removeAppender(this);
      super.stop();
    }

    @Override
    public synchronized void append(LogEvent event) {
      Map<String, String> fields = new TreeMap<>(((StringMapMessage) event.getMessage()).getData());
      VARYING_FIELDS.forEach(fields::remove);
      if (path.equals(fields.get("path"))) {
        lines.add(fields.toString());
      }
    }

    synchronized List<String> lines() {
      return List.copyOf(lines);
    }
  }
}
