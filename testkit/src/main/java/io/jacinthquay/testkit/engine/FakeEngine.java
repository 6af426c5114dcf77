package io.jacinthquay.testkit.engine;

import io.jacinthquay.runtime.Service;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;

/**
 * A fake model engine over HTTP.
 *
 * <pre>{@code
 * FakeEngine engine = new FakeEngine(EngineOptions.quick("engine-1"));
 * engine.start();
 * engine.faults().dieAfterTokens(3);
 * }</pre>
 */
public final class FakeEngine implements Service {
  private static final HttpString REQUEST_ID = new HttpString("x-request-id");
  private static final HttpString NOT_RUN = new HttpString("x-not-run");

  private final EngineOptions options;
  private final int port;
  private final EngineFaults faults = new EngineFaults();
  private final EngineLog log = new EngineLog();
  private final Batch batch;
  private final LoadHistory loadHistory;
  private final CacheEvents cache = new CacheEvents();
  private final EngineOrders orders = new EngineOrders();
  private final Map<String, Sequence> sequencesByRequestId = new ConcurrentHashMap<>();
  private Undertow server;
  private ScheduledExecutorService stepTimer;

  /** Returns an engine that takes a free port. */
  public FakeEngine(EngineOptions options) {
    this(options, 0);
  }

  /**
   * Returns an engine.
   *
   * @param port where it listens on the loopback address; 0 takes a free one
   */
  public FakeEngine(EngineOptions options, int port) {
    this.options = options;
    this.port = port;
    this.batch = new Batch(options);
    this.loadHistory = new LoadHistory(options, batch);
  }

  @Override
  public void start() {
    server =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1")
            .setIoThreads(options.ioThreads())
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(this::handle)
            .build();
    server.start();
    stepTimer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, options.name());
              thread.setDaemon(true);
              return thread;
            });
    long nanos = options.step().toNanos();
    var unused = stepTimer.scheduleAtFixedRate(this::step, nanos, nanos, TimeUnit.NANOSECONDS);
  }

  /** Returns where the engine listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  /** Returns the faults, which may be set at any time. */
  public EngineFaults faults() {
    return faults;
  }

  /** Returns the requests that ran, in the order of arrival. */
  public List<EngineRun> runs() {
    return log.runs();
  }

  /** Returns the number of requests that arrived while the engine was at its concurrency limit. */
  public int overLimitRequests() {
    return batch.overLimitRequests();
  }

  /** Returns the number of requests that run or wait. */
  public int load() {
    return batch.running() + batch.waiting();
  }

  /** Makes the engine cold, as after a start. */
  public void turnCold() {
    batch.turnCold();
  }

  /** Returns the orders that the engine received. */
  public EngineOrders orders() {
    return orders;
  }

  private void step() {
    Map<XnioIoThread, List<Sequence>> byThread = new HashMap<>();
    for (Sequence sequence : batch.step()) {
      byThread
          .computeIfAbsent(sequence.exchange().getIoThread(), thread -> new ArrayList<>())
          .add(sequence);
    }
    try {
      byThread.forEach(
          (thread, sequences) -> thread.execute(() -> sequences.forEach(Sequence::step)));
    } catch (RejectedExecutionException e) {
      stepTimer.shutdown();
    }
  }

  private void handle(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> route(received, body)));
  }

  private void route(HttpServerExchange exchange, byte[] body) {
    switch (exchange.getRequestPath()) {
      case "/v1/chat/completions", "/v1/completions" -> generate(exchange, body);
      case "/cancel" -> cancel(exchange, body);
      case "/load" -> respond(exchange, StatusCodes.OK, loadHistory.json());
      case "/cache-events" -> respond(exchange, StatusCodes.OK, cache.json(since(exchange)));
      case "/orders" -> respond(exchange, orders.receive(text(body)), "{}");
      default -> respond(exchange, StatusCodes.NOT_FOUND, "{}");
    }
  }

  private static long since(HttpServerExchange exchange) {
    var values = exchange.getQueryParameters().get("since");
    return values == null ? 0 : Long.parseLong(values.getFirst());
  }

  private static String text(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  private void generate(HttpServerExchange exchange, byte[] body) {
    String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
    if (faults.rejectsRequests()) {
      exchange.getResponseHeaders().put(NOT_RUN, "true");
      exchange.getResponseHeaders().put(REQUEST_ID, id);
      respond(exchange, StatusCodes.SERVICE_UNAVAILABLE, "{}");
      return;
    }
    try {
      EngineRequest request = EngineRequest.parse(body, options.defaultTokens());
      EngineLog.Entry entry = log.add(id, text(body), headers(exchange), request);
      enqueue(exchange, id, request, entry);
    } catch (IOException e) {
      exchange.getResponseHeaders().put(REQUEST_ID, id);
      respond(exchange, StatusCodes.BAD_REQUEST, "{\"error\":\"malformed\"}");
    }
  }

  private void enqueue(
      HttpServerExchange exchange, String id, EngineRequest request, EngineLog.Entry entry) {
    cache.storePrompt(request.prompt());
    Sequence sequence =
        new Sequence(exchange, id, request, faults, entry, batch, options.prefillSteps());
    if (faults.dropsResponses()) {
      sequence.cancel();
      return;
    }
    sequencesByRequestId.put(id, sequence);
    exchange.getConnection().addCloseListener(connection -> sequence.onDisconnect());
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          sequencesByRequestId.remove(id, sequence);
          next.proceed();
        });
    batch.add(sequence);
  }

  private void cancel(HttpServerExchange exchange, byte[] body) {
    sequencesByRequestId.forEach(
        (id, sequence) -> {
          if (text(body).contains("\"" + id + "\"")) {
            sequence.exchange().getIoThread().execute(sequence::cancel);
          }
        });
    respond(exchange, StatusCodes.OK, "{}");
  }

  private static String headers(HttpServerExchange exchange) {
    StringBuilder text = new StringBuilder();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      for (String value : values) {
        text.append(values.getHeaderName()).append(": ").append(value).append('\n');
      }
    }
    return text.toString();
  }

  private static void respond(HttpServerExchange exchange, int status, String json) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(json);
  }

  @Override
  public void stop() {
    if (server != null) {
      List<Runnable> unused = stepTimer.shutdownNow();
      server.stop();
    }
  }
}
