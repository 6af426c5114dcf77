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
 * A small model engine over HTTP.
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
  private final LoadHistory load;
  private final CacheEvents cache = new CacheEvents();
  private final EngineOrders orders = new EngineOrders();
  private final Map<String, Sequence> byRequest = new ConcurrentHashMap<>();
  private Undertow server;
  private ScheduledExecutorService clock;

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
    this.load = new LoadHistory(options, batch);
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
    clock =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, options.name());
              thread.setDaemon(true);
              return thread;
            });
    long nanos = options.step().toNanos();
    var unused = clock.scheduleAtFixedRate(this::step, nanos, nanos, TimeUnit.NANOSECONDS);
  }

  /** Returns where the engine listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  /** Returns the faults, which may be switched at any time. */
  public EngineFaults faults() {
    return faults;
  }

  /** Returns what ran, in the order of arrival. */
  public List<EngineRun> runs() {
    return log.runs();
  }

  /** Returns how many requests came while the engine had as many as it can bear. */
  public int breaches() {
    return batch.breaches();
  }

  /** Returns how many requests run or wait. */
  public int load() {
    return batch.running() + batch.waiting();
  }

  /** Makes the engine cold without warning. */
  public void turnCold() {
    batch.turnCold();
  }

  /** Returns the orders that were carried out. */
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
      clock.shutdown();
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
      case "/load" -> answer(exchange, StatusCodes.OK, load.json());
      case "/cache-events" -> answer(exchange, StatusCodes.OK, cache.json(since(exchange)));
      case "/orders" -> answer(exchange, orders.take(text(body)), "{}");
      default -> answer(exchange, StatusCodes.NOT_FOUND, "{}");
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
    if (faults.refuses()) {
      exchange.getResponseHeaders().put(NOT_RUN, "true");
      exchange.getResponseHeaders().put(REQUEST_ID, id);
      answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, "{}");
      return;
    }
    try {
      EngineRequest request = EngineRequest.parse(body, options.defaultTokens());
      EngineLog.Entry entry = log.add(id, text(body), headers(exchange), request);
      run(exchange, id, request, entry);
    } catch (IOException e) {
      exchange.getResponseHeaders().put(REQUEST_ID, id);
      answer(exchange, StatusCodes.BAD_REQUEST, "{\"error\":\"malformed\"}");
    }
  }

  private void run(
      HttpServerExchange exchange, String id, EngineRequest request, EngineLog.Entry entry) {
    cache.stored(request.prompt());
    Sequence sequence =
        new Sequence(exchange, id, request, faults, entry, batch, options.prefill());
    if (faults.isDeaf()) {
      sequence.cancel();
      return;
    }
    byRequest.put(id, sequence);
    exchange.getConnection().addCloseListener(connection -> sequence.gone());
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          byRequest.remove(id, sequence);
          next.proceed();
        });
    batch.add(sequence);
  }

  private void cancel(HttpServerExchange exchange, byte[] body) {
    byRequest.forEach(
        (id, sequence) -> {
          if (text(body).contains("\"" + id + "\"")) {
            sequence.exchange().getIoThread().execute(sequence::cancel);
          }
        });
    answer(exchange, StatusCodes.OK, "{}");
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

  private static void answer(HttpServerExchange exchange, int status, String json) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(json);
  }

  @Override
  public void stop() {
    if (server != null) {
      List<Runnable> unused = clock.shutdownNow();
      server.stop();
    }
  }
}
