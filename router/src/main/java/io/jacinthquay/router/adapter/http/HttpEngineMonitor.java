package io.jacinthquay.router.adapter.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.EngineLoad;
import io.jacinthquay.router.port.EngineMonitor;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.runtime.json.BoundedJson;
import io.jacinthquay.runtime.json.JsonEntries;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Polls engines over HTTP. */
public final class HttpEngineMonitor implements EngineMonitor {
  /** Most names and values of a load report, the names of its models included. */
  private static final int MAX_LOAD_TOKENS = 10_000;

  /** Most events that one poll takes; the next poll takes those behind them. */
  private static final int MAX_EVENTS = 10_000;

  private static final ObjectMapper MAPPER = BoundedJson.mapper(MAX_LOAD_TOKENS);
  private static final int HEX_RADIX = 16;

  private final JsonHttp http;

  /**
   * Returns a monitor.
   *
   * @param http client for the requests to engines
   */
  public HttpEngineMonitor(JsonHttp http) {
    this.http = http;
  }

  @Override
  public Either<Failure, EngineLoad> load(VmEntry engine) {
    try {
      JsonNode load = MAPPER.readTree(http.get(engine.address(), "/load"));
      long measuredMillis = load.path("measured_at_ms").asLong();
      long ageMillis = Math.max(0, System.currentTimeMillis() - measuredMillis);
      return Either.right(
          new EngineLoad(
              System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(ageMillis),
              Math.max(0, load.path("running").asInt()),
              Math.max(0, load.path("waiting").asInt()),
              Math.max(1, load.path("limit").asInt(1)),
              load.path("warm").asBoolean(true)));
    } catch (IOException e) {
      return failed(engine, e);
    }
  }

  @Override
  public Either<Failure, List<CacheEvent>> cacheEvents(VmEntry engine, long since) {
    try {
      String target = "/cache-events?since=" + since;
      JsonEntries page = JsonEntries.of(http.get(engine.address(), target), "events");
      List<CacheEvent> events = new ArrayList<>();
      Optional<JsonNode> next = page.next();
      while (next.isPresent() && events.size() < MAX_EVENTS) {
        events.add(event(engine, next.get()));
        next = page.next();
      }
      return Either.right(events);
    } catch (IOException | IllegalArgumentException e) {
      return failed(engine, e);
    }
  }

  private static CacheEvent event(VmEntry engine, JsonNode event) {
    long hash = Long.parseUnsignedLong(event.path("prefix").asText(), HEX_RADIX);
    boolean stored = event.path("kind").asText().equals("stored");
    return new CacheEvent(
        engine.name(),
        event.path("seq").asLong(),
        false,
        stored ? List.of(hash) : List.of(),
        stored ? List.of() : List.of(hash));
  }

  private static <T> Either<Failure, T> failed(VmEntry engine, Exception e) {
    String detail = engine.name() + " did not respond: " + e.getMessage();
    return Either.left(Failure.of(ResultCode.UPSTREAM_UNREACHABLE, detail));
  }
}
