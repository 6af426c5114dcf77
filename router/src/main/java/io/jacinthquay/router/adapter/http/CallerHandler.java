package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.CallerHead;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.RequestIntake.AdmittedHead;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;

/** Reads one request and hands it to the intake. */
final class CallerHandler implements HttpHandler {
  /** Time for which the rest of a refused body is read, in milliseconds. */
  private static final long LINGER_MILLIS = 1_000;

  private final RequestIntake intake;
  private final ListenerLimits limits;
  private final BodyMemory memory;
  private final IdleConnections connections;

  CallerHandler(
      RequestIntake intake, ListenerLimits limits, BodyMemory memory, IdleConnections connections) {
    this.intake = intake;
    this.connections = connections;
    this.limits = limits;
    this.memory = memory;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    connections.begins(exchange);
    RequestId id = intake.nextId();
    CallerHead head = head(exchange);
    UndertowCaller caller = new UndertowCaller(exchange, connections);
    exchange.dispatch(SameThreadExecutor.INSTANCE, () -> startSafely(exchange, id, head, caller));
  }

  /** Undertow answers 503 where a task is rejected, also if that was after a request was sent. */
  private void startSafely(
      HttpServerExchange exchange, RequestId id, CallerHead head, UndertowCaller caller) {
    try {
      start(exchange, id, head, caller);
    } catch (RejectedExecutionException e) {
      throw new IllegalStateException("the I/O thread takes no more tasks", e);
    }
  }

  private void start(
      HttpServerExchange exchange, RequestId id, CallerHead head, UndertowCaller caller) {
    if (headBytes(head) > limits.maxHeadBytes()) {
      refuse(exchange, id, head, Failure.of(ResultCode.HEAD_TOO_LARGE), caller);
      return;
    }
    Either<Failure, AdmittedHead> admitted = intake.admit(id, head);
    if (admitted.isLeft()) {
      refuse(exchange, id, head, admitted.getLeft(), caller);
      return;
    }
    BodyReader reader = new BodyReader(exchange, limits, memory);
    reader.read(
        body -> admitted.get().run(body, caller),
        failure -> refuse(exchange, id, head, failure, caller));
  }

  private void refuse(
      HttpServerExchange exchange,
      RequestId id,
      CallerHead head,
      Failure failure,
      UndertowCaller caller) {
    if (!exchange.isRequestComplete()) {
      closeUnlessRead(exchange);
      WatchedSource.allow(
          exchange, (long) limits.maxBodyBytes() + WatchedSource.MOST_SKIPPED_BYTES);
      exchange.addExchangeCompleteListener(
          (ended, next) -> {
            WatchedSource.allowAll(exchange);
            next.proceed();
          });
    }
    intake.refuse(id, head, failure, caller);
  }

  /** What is left of a refused body is read for a moment, so that the refusal can be read too. */
  private static void closeUnlessRead(HttpServerExchange exchange) {
    Runnable close =
        () -> {
          if (!exchange.isRequestComplete()) {
            IoUtils.safeClose(exchange.getConnection());
          }
        };
    var unused = exchange.getIoThread().executeAfter(close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static CallerHead head(HttpServerExchange exchange) {
    List<Header> headers = new ArrayList<>();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      for (String value : values) {
        headers.add(new Header(values.getHeaderName().toString(), value));
      }
    }
    return new CallerHead(
        exchange.getRequestMethod().toString(),
        exchange.getRequestPath(),
        rawPath(exchange),
        exchange.getQueryString(),
        headers);
  }

  private static String rawPath(HttpServerExchange exchange) {
    String uri = exchange.getRequestURI();
    if (!exchange.isHostIncludedInRequestURI()) {
      return uri;
    }
    int slash = uri.indexOf('/', uri.indexOf("://") + 3);
    return slash < 0 ? "/" : uri.substring(slash);
  }

  private static long headBytes(CallerHead head) {
    long bytes = head.rawPath().length() + head.query().length();
    for (Header header : head.headers()) {
      bytes += header.name().length() + header.value().length() + 4;
    }
    return bytes;
  }
}
