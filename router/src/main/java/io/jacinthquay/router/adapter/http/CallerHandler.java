package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.RequestIntake.AdmittedHead;
import io.jacinthquay.runtime.http.BufferBudget;
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

/** Reads a request and passes it to the intake. */
final class CallerHandler implements HttpHandler {
  /** Time for which the rest of a rejected body is read, in milliseconds. */
  private static final long LINGER_MILLIS = 1_000;

  /** Memory that the head of a request may take even if the shared budget is exceeded, in bytes. */
  private static final long SMALL_HEAD_BYTES = 8 * 1024;

  private final RequestIntake intake;
  private final ListenerLimits limits;
  private final BufferBudget memory;
  private final ConnectionTracker connections;

  CallerHandler(
      RequestIntake intake,
      ListenerLimits limits,
      BufferBudget memory,
      ConnectionTracker connections) {
    this.intake = intake;
    this.connections = connections;
    this.limits = limits;
    this.memory = memory;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    if (!exchange.getConnection().isOpen()) {
      exchange.endExchange();
      return;
    }
    long headBytes = connections.requestStarted(exchange);
    RequestId id = intake.nextId();
    RequestHead head = head(exchange);
    UndertowCaller caller = new UndertowCaller(exchange, connections, memory);
    exchange.dispatch(
        SameThreadExecutor.INSTANCE, () -> startSafely(exchange, id, head, headBytes, caller));
  }

  /**
   * Starts the request and replaces a rejection of a task by another exception. Undertow responds
   * with 503 to a rejection, even if the request has already been sent to an upstream.
   */
  private void startSafely(
      HttpServerExchange exchange,
      RequestId id,
      RequestHead head,
      long headBytes,
      UndertowCaller caller) {
    try {
      start(exchange, id, head, headBytes, caller);
    } catch (RejectedExecutionException e) {
      throw new IllegalStateException("the I/O thread accepts no more tasks", e);
    }
  }

  private void start(
      HttpServerExchange exchange,
      RequestId id,
      RequestHead head,
      long headBytes,
      UndertowCaller caller) {
    if (headBytes > SMALL_HEAD_BYTES && memory.isExceeded()) {
      reject(exchange, id, head, Failure.of(ResultCode.QUEUE_FULL), caller);
      return;
    }
    if (sentBytes(head) > limits.maxHeadBytes()) {
      reject(exchange, id, head, Failure.of(ResultCode.HEAD_TOO_LARGE), caller);
      return;
    }
    Either<Failure, AdmittedHead> admitted = intake.admit(id, head);
    if (admitted.isLeft()) {
      reject(exchange, id, head, admitted.getLeft(), caller);
      return;
    }
    int maxBodyBytes = Math.min(limits.maxBodyBytes(), admitted.get().maxBodyBytes());
    BodyReader reader = new BodyReader(exchange, limits.withMaxBodyBytes(maxBodyBytes), memory);
    reader.read(
        body -> admitted.get().run(body, caller),
        failure -> reject(exchange, id, head, failure, caller));
  }

  private void reject(
      HttpServerExchange exchange,
      RequestId id,
      RequestHead head,
      Failure failure,
      UndertowCaller caller) {
    if (failure.code() == ResultCode.SENDER_TOO_SLOW) {
      connections.countSlowBody();
    }
    if (!exchange.isRequestComplete()) {
      closeAfterLinger(exchange);
      ReadAheadSource.allow(
          exchange, (long) limits.maxBodyBytes() + ReadAheadSource.MAX_SKIPPED_BYTES);
      exchange.addExchangeCompleteListener(
          (completed, next) -> {
            ReadAheadSource.allowAll(exchange);
            next.proceed();
          });
    }
    intake.refuse(id, head, failure, caller);
  }

  /**
   * Closes the connection after {@link #LINGER_MILLIS} unless the rest of the body has been read by
   * then. Reading it for that time lets the caller receive the rejection.
   */
  private static void closeAfterLinger(HttpServerExchange exchange) {
    Runnable close =
        () -> {
          if (!exchange.isRequestComplete()) {
            IoUtils.safeClose(exchange.getConnection());
          }
        };
    var unused = exchange.getIoThread().executeAfter(close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static RequestHead head(HttpServerExchange exchange) {
    List<Header> headers = new ArrayList<>();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      for (String value : values) {
        headers.add(new Header(values.getHeaderName().toString(), value));
      }
    }
    return new RequestHead(
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

  private static long sentBytes(RequestHead head) {
    long bytes = head.rawPath().length() + head.query().length();
    for (Header header : head.headers()) {
      bytes += header.name().length() + header.value().length() + 4;
    }
    return bytes;
  }
}
