package io.jacinthquay.runtime.http;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.Service;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringWriteChannelListener;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Makes small JSON calls, each on a connection of its own, and waits for the answer.
 *
 * <pre>{@code
 * JsonHttpClient http = new JsonHttpClient("platform");
 * http.start();
 * Either<Failure, HttpAnswer> answer = http.call(HttpCall.read(server, "/vms", timeout));
 * }</pre>
 *
 * <p>A call that runs out of time is reset, so that nothing of it is written later, and nothing
 * that was written is delivered later where the network kept it.
 */
public final class JsonHttpClient implements Service {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final ByteBufferPool BUFFERS = new DefaultByteBufferPool(true, BUFFER_BYTES);

  private final String name;
  private XnioWorker worker;

  /**
   * Returns a client.
   *
   * @param name names its threads
   */
  public JsonHttpClient(String name) {
    this.name = name;
  }

  @Override
  public void start() {
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .set(Options.THREAD_DAEMON, true)
            .set(Options.WORKER_NAME, name)
            .getMap();
    try {
      worker = Xnio.getInstance().createWorker(options);
    } catch (IOException e) {
      throw new IllegalStateException("no I/O worker: " + e.getMessage(), e);
    }
  }

  @Override
  public void stop() {
    if (worker != null) {
      worker.shutdownNow();
    }
  }

  /**
   * Makes a call.
   *
   * @return the answer of any status; {@link ResultCode#UPSTREAM_UNREACHABLE} if no byte was
   *     written; {@link ResultCode#UPSTREAM_BROKE} or {@link ResultCode#UPSTREAM_TIMEOUT} if the
   *     outcome is not known
   */
  public Either<Failure, HttpAnswer> call(HttpCall call) {
    return call(call, piece -> {});
  }

  /**
   * Makes a call whose answer is heard piece by piece as well.
   *
   * @param pieces hears each piece of the body as it arrives, on an I/O thread
   * @return as {@link #call(HttpCall)}
   */
  public Either<Failure, HttpAnswer> call(HttpCall call, Consumer<String> pieces) {
    OneCall one = new OneCall(call, pieces);
    one.connect(worker);
    try {
      return one.result.get(call.timeout().toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return one.abandon(ResultCode.UPSTREAM_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return one.abandon(ResultCode.UPSTREAM_BROKE);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  private static ResultCode unreached() {
    return ResultCode.UPSTREAM_UNREACHABLE;
  }

  /** How far a call has come; what was given up before its first byte is never written. */
  private enum Stage {
    OPENING,
    WRITTEN,
    ABANDONED
  }

  /** One call on its way. */
  private static final class OneCall implements ClientCallback<ClientConnection> {
    private final HttpCall call;
    private final Consumer<String> pieces;
    private final CompletableFuture<Either<Failure, HttpAnswer>> result = new CompletableFuture<>();
    private final AtomicReference<ClientConnection> connection = new AtomicReference<>();
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.OPENING);

    OneCall(HttpCall call, Consumer<String> pieces) {
      this.call = call;
      this.pieces = pieces;
    }

    void connect(XnioWorker worker) {
      InetSocketAddress server = call.server();
      URI uri = URI.create("http://" + server.getHostString() + ":" + server.getPort());
      UndertowClient.getInstance().connect(this, uri, worker, BUFFERS, OptionMap.EMPTY);
    }

    /** Gives the call up; a code is what the caller hears if it was written. */
    Either<Failure, HttpAnswer> abandon(ResultCode written) {
      boolean unwritten = stage.compareAndSet(Stage.OPENING, Stage.ABANDONED);
      Optional.ofNullable(connection.get()).ifPresent(ClientConnections::reset);
      ResultCode code = unwritten ? unreached() : written;
      return Either.left(Failure.of(code, call.method() + " " + call.path() + " did not end"));
    }

    @Override
    public void completed(ClientConnection opened) {
      connection.set(opened);
      boolean may = call.mayWrite().getAsBoolean();
      if (!may || !stage.compareAndSet(Stage.OPENING, Stage.WRITTEN)) {
        fail(unreached(), "the call was no longer allowed");
        return;
      }
      opened.sendRequest(request(), new Exchange());
    }

    @Override
    public void failed(IOException e) {
      fail(unreached(), e.getMessage());
    }

    private ClientRequest request() {
      ClientRequest request =
          new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
      request.getRequestHeaders().put(Headers.HOST, call.server().getHostString());
      request.getRequestHeaders().put(Headers.CONNECTION, "close");
      for (HttpHeader header : call.headers()) {
        request.getRequestHeaders().put(new HttpString(header.name()), header.value());
      }
      if (!call.body().isEmpty()) {
        int length = call.body().getBytes(StandardCharsets.UTF_8).length;
        request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
      }
      return request;
    }

    private void close() {
      Optional.ofNullable(connection.get()).ifPresent(ClientConnections::close);
    }

    private void fail(ResultCode code, String detail) {
      close();
      result.complete(Either.left(Failure.of(code, String.valueOf(detail))));
    }

    /** Writes the body and reads the answer. */
    private final class Exchange implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange exchange) {
        exchange.setResponseListener(new Answer());
        if (!call.body().isEmpty()) {
          new StringWriteChannelListener(call.body()).setup(exchange.getRequestChannel());
        }
      }

      @Override
      public void failed(IOException e) {
        fail(ResultCode.UPSTREAM_BROKE, e.getMessage());
      }
    }

    /** Reads the answer. */
    private final class Answer implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        new BodyReader(BUFFERS, pieces) {
          @Override
          void done(String body) {
            result.complete(Either.right(new HttpAnswer(status, body)));
            close();
          }

          @Override
          void failed(IOException e) {
            fail(ResultCode.UPSTREAM_BROKE, e.getMessage());
          }
        }.setup(exchange.getResponseChannel());
      }

      @Override
      public void failed(IOException e) {
        fail(ResultCode.UPSTREAM_BROKE, e.getMessage());
      }
    }
  }
}
