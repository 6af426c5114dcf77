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
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * A blocking HTTP client for small JSON calls, each on its own connection.
 *
 * <pre>{@code
 * JsonHttpClient http = new JsonHttpClient("platform");
 * http.start();
 * Either<Failure, HttpResponse> response = http.call(HttpCall.get(server, "/vms", timeout));
 * }</pre>
 *
 * <p>The connection of a call that times out is reset, so that nothing of the call is written
 * later, and written data that the network has held back is not delivered later.
 */
public final class JsonHttpClient implements Service {
  private static final Logger log = LogManager.getLogger();

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final ByteBufferPool BUFFERS = new DefaultByteBufferPool(true, BUFFER_BYTES);

  private final AnswerMemory memory = new AnswerMemory();
  private final String name;
  private XnioWorker worker;

  /**
   * Creates a client.
   *
   * @param name the name prefix of its threads
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
      throw new IllegalStateException("cannot create an I/O worker: " + e.getMessage(), e);
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
   * @return the response with any status; {@link ResultCode#UPSTREAM_UNREACHABLE} if no byte was
   *     written; {@link ResultCode#UPSTREAM_BROKE} or {@link ResultCode#UPSTREAM_TIMEOUT} if the
   *     outcome is unknown
   */
  public Either<Failure, HttpResponse> call(HttpCall call) {
    return call(call, chunk -> {});
  }

  /**
   * Makes a call and also passes on each chunk of the response body as it arrives.
   *
   * @param chunkListener receives each chunk of the body, on an I/O thread
   * @return the result as in {@link #call(HttpCall)}
   */
  public Either<Failure, HttpResponse> call(HttpCall call, Consumer<String> chunkListener) {
    PendingCall pending = new PendingCall(call, chunkListener, memory);
    pending.connect(worker.getIoThread());
    try {
      return pending.result.get(call.timeout().toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return pending.abandon(ResultCode.UPSTREAM_TIMEOUT);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return pending.abandon(ResultCode.UPSTREAM_BROKE);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  /** Returns the memory that responses take until they are complete. */
  public AnswerMemory answerMemory() {
    return memory;
  }

  private static ResultCode notSent() {
    return ResultCode.UPSTREAM_UNREACHABLE;
  }

  /** The state of a call. A call that is abandoned before its first byte is never written. */
  private enum CallState {
    CONNECTING,
    WRITTEN,
    ABANDONED
  }

  /** A call in progress. */
  private static final class PendingCall implements ClientCallback<ClientConnection> {
    private final HttpCall call;
    private final Consumer<String> chunkListener;
    private final AnswerMemory memory;
    private final CompletableFuture<Either<Failure, HttpResponse>> result =
        new CompletableFuture<>();
    private final AtomicReference<ClientConnection> connection = new AtomicReference<>();
    private final AtomicReference<CallState> state = new AtomicReference<>(CallState.CONNECTING);
    private BoundedOpener opener;
    private BoundedSource source;
    private StringWriteChannelListener writer;
    private BodyReader body;
    private boolean ended;

    PendingCall(HttpCall call, Consumer<String> chunkListener, AnswerMemory memory) {
      this.call = call;
      this.memory = memory;
      this.chunkListener = chunkListener;
    }

    void connect(XnioIoThread thread) {
      opener = new BoundedOpener(thread, memory);
      InetSocketAddress server = call.server();
      URI uri = URI.create("http://" + server.getHostString() + ":" + server.getPort());
      UndertowClient.getInstance().connect(this, uri, opener, BUFFERS, OptionMap.EMPTY);
    }

    /** Abandons the call and returns its failure, with the given code if the call was written. */
    Either<Failure, HttpResponse> abandon(ResultCode codeIfWritten) {
      boolean isUnwritten = state.compareAndSet(CallState.CONNECTING, CallState.ABANDONED);
      Optional.ofNullable(connection.get()).ifPresent(ClientConnections::reset);
      releaseOnThread();
      ResultCode code = isUnwritten ? notSent() : codeIfWritten;
      return Either.left(Failure.of(code, call.method() + " " + call.path() + " did not complete"));
    }

    /** The thread may be reading the response. */
    private void releaseOnThread() {
      try {
        opener.execute(this::release);
      } catch (RejectedExecutionException e) {
        log.debug("the client has stopped: {}", e.getMessage());
      }
    }

    private void release() {
      ended = true;
      if (source != null) {
        source.release();
      }
      if (body != null) {
        body.release();
      }
    }

    @Override
    public void completed(ClientConnection opened) {
      connection.set(opened);
      source = opener.latestSource();
      boolean isAllowed = call.mayWrite().getAsBoolean();
      if (!isAllowed || !state.compareAndSet(CallState.CONNECTING, CallState.WRITTEN)) {
        fail(notSent(), "the call was abandoned or is no longer allowed");
        return;
      }
      source.beginHead(call.method(), this::failForMemory);
      opened.sendRequest(request(), new Exchange());
    }

    @Override
    public void failed(IOException e) {
      fail(notSent(), e.getMessage());
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
      release();
      Optional.ofNullable(connection.get()).ifPresent(ClientConnections::close);
    }

    private AnswerMemory.Holding newBodyMemory() {
      return memory.newHolding(BodyReader.SMALL_BODY_BYTES, opener, this::failForMemory);
    }

    private void failForMemory() {
      fail(ResultCode.UPSTREAM_BROKE, "its response was given up for others");
    }

    private void fail(ResultCode code, String detail) {
      close();
      result.complete(Either.left(Failure.of(code, String.valueOf(detail))));
    }

    /** Writes the request body and registers the reader of the response. */
    private final class Exchange implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange exchange) {
        exchange.setResponseListener(new ResponseReader());
        if (!call.body().isEmpty()) {
          writer = new StringWriteChannelListener(call.body());
          writer.setup(exchange.getRequestChannel());
        }
      }

      @Override
      public void failed(IOException e) {
        fail(ResultCode.UPSTREAM_BROKE, e.getMessage());
      }
    }

    /** Reads the response. */
    private final class ResponseReader implements ClientCallback<ClientExchange> {
      @Override
      public void completed(ClientExchange exchange) {
        if (ended) {
          return;
        }
        int status = exchange.getResponse().getResponseCode();
        source.allowSkipped();
        body =
            new BodyReader(BUFFERS, chunkListener, source, newBodyMemory()) {
              @Override
              boolean isRequestWritten() {
                return writer == null || !writer.hasRemaining();
              }

              @Override
              void done(String body) {
                result.complete(Either.right(new HttpResponse(status, body)));
                close();
              }

              @Override
              void failed(IOException e) {
                fail(ResultCode.UPSTREAM_BROKE, e.getMessage());
              }
            };
        body.setup(exchange.getResponseChannel());
      }

      @Override
      public void failed(IOException e) {
        fail(ResultCode.UPSTREAM_BROKE, e.getMessage());
      }
    }
  }
}
