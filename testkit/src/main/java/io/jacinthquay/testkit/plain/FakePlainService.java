package io.jacinthquay.testkit.plain;

import io.jacinthquay.runtime.Service;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.xnio.IoUtils;

/**
 * A fake plain service over HTTP that responds with the number of the run.
 *
 * <pre>{@code
 * FakePlainService service = new FakePlainService();
 * service.start();
 * service.setFault(PlainFault.DIE_BEFORE_ANSWER);
 * }</pre>
 */
public final class FakePlainService implements Service {
  private static final HttpString REQUEST_ID = new HttpString("x-request-id");
  private static final HttpString NOT_RUN = new HttpString("x-not-run");
  private static final int TRUNCATED_RESPONSE_BYTES = 1_000_000;
  private static final int MAX_TEXT_RESPONSE_BYTES = 1_000_000;

  private final int port;
  private final List<PlainRun> runs = new ArrayList<>();
  private final List<Runnable> stalledResponses = new ArrayList<>();
  private volatile PlainFault fault = PlainFault.NONE;
  private final AtomicLong sentBytes = new AtomicLong();
  private volatile int responseBytes;
  private Undertow server;

  /** Returns a service that takes a free port. */
  public FakePlainService() {
    this(0);
  }

  /**
   * Returns a service.
   *
   * @param port where it listens on the loopback address; 0 takes a free one
   */
  public FakePlainService(int port) {
    this.port = port;
  }

  @Override
  public void start() {
    server =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(this::handle)
            .build();
    server.start();
  }

  /** Returns where the service listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  /** Sets the fault of later requests. */
  public void setFault(PlainFault newFault) {
    fault = newFault;
  }

  /** Pads later responses to a size in bytes. */
  public void setResponseBytes(int bytes) {
    responseBytes = bytes;
  }

  /** Returns the requests that ran, in the order of arrival. */
  public List<PlainRun> runs() {
    synchronized (runs) {
      return List.copyOf(runs);
    }
  }

  private void handle(HttpServerExchange exchange) {
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> respond(received, body)));
  }

  private void respond(HttpServerExchange exchange, byte[] body) {
    PlainFault currentFault = fault;
    String id = exchange.getRequestHeaders().getFirst(REQUEST_ID);
    if (currentFault == PlainFault.REFUSE) {
      exchange.getResponseHeaders().put(NOT_RUN, "true");
      exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
      exchange.endExchange();
      return;
    }
    int number = recordRun(exchange, id, body);
    exchange
        .getResponseHeaders()
        .put(
            REQUEST_ID,
            currentFault == PlainFault.CROSSED ? "another-request" : String.valueOf(id));
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    switch (currentFault) {
      case DIE_BEFORE_ANSWER -> IoUtils.safeClose(exchange.getConnection());
      case DIE_WITHIN_ANSWER -> closeWithinResponse(exchange);
      case STALL -> stall(exchange, number);
      default -> send(exchange, number);
    }
  }

  private void send(HttpServerExchange exchange, int number) {
    if (responseBytes > MAX_TEXT_RESPONSE_BYTES) {
      new BulkResponse(exchange, responseBytes, sentBytes).start();
    } else {
      exchange.getResponseSender().send(text(number));
    }
  }

  /** Returns the number of bytes sent in responses over 1,000,000 bytes. */
  public long sentBytes() {
    return sentBytes.get();
  }

  private void stall(HttpServerExchange exchange, int number) {
    synchronized (runs) {
      stalledResponses.add(
          () ->
              exchange
                  .getIoThread()
                  .execute(() -> exchange.getResponseSender().send(text(number))));
    }
  }

  /** Sends the response of every stalled request. */
  public void sendStalledResponses() {
    synchronized (runs) {
      stalledResponses.forEach(Runnable::run);
      stalledResponses.clear();
    }
  }

  private int recordRun(HttpServerExchange exchange, String id, byte[] body) {
    String query = exchange.getQueryString();
    String target = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
    PlainRun run =
        new PlainRun(
            String.valueOf(id),
            exchange.getRequestMethod().toString(),
            target,
            headers(exchange),
            new String(body, StandardCharsets.UTF_8));
    synchronized (runs) {
      runs.add(run);
      return runs.size();
    }
  }

  private String text(int number) {
    String json = "{\"run\":" + number + "}";
    return json + " ".repeat(Math.max(0, responseBytes - json.length()));
  }

  private static void closeWithinResponse(HttpServerExchange exchange) {
    exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, TRUNCATED_RESPONSE_BYTES);
    exchange
        .getResponseSender()
        .send(
            "x".repeat(TRUNCATED_RESPONSE_BYTES / 2),
            new io.undertow.io.IoCallback() {
              @Override
              public void onComplete(HttpServerExchange done, io.undertow.io.Sender sender) {
                IoUtils.safeClose(done.getConnection());
              }

              @Override
              public void onException(
                  HttpServerExchange failed,
                  io.undertow.io.Sender sender,
                  java.io.IOException exception) {
                IoUtils.safeClose(failed.getConnection());
              }
            });
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

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }
}
