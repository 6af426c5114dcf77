package io.jacinthquay.router.adapter.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Small blocking calls to the platform and to engines, one connection each. */
public final class JsonHttp implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int OK = 200;

  private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
  private final XnioWorker worker;
  private final Duration timeout;

  /**
   * Returns a client.
   *
   * @param timeout limit for one call
   * @throws IllegalStateException if no I/O thread can be started
   */
  public JsonHttp(Duration timeout) {
    this.timeout = timeout;
    try {
      this.worker =
          Xnio.getInstance()
              .createWorker(
                  OptionMap.builder()
                      .set(Options.WORKER_IO_THREADS, 1)
                      .set(Options.WORKER_TASK_CORE_THREADS, 1)
                      .set(Options.WORKER_TASK_MAX_THREADS, 1)
                      .set(Options.THREAD_DAEMON, true)
                      .set(Options.WORKER_NAME, "json-http")
                      .getMap());
    } catch (IOException e) {
      throw new IllegalStateException("no I/O thread could be started", e);
    }
  }

  /**
   * Gets a page.
   *
   * @param address where the server listens
   * @param target path and query
   * @return the body
   * @throws IOException if no answer with status 200 came in time
   */
  public String get(InetSocketAddress address, String target) throws IOException {
    CompletableFuture<String> answer = new CompletableFuture<>();
    URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort());
    ClientRequest request = new ClientRequest();
    request.setMethod(new HttpString("GET")).setPath(target);
    request.getRequestHeaders().put(Headers.HOST, uri.getAuthority());
    request.getRequestHeaders().put(Headers.CONNECTION, "close");
    UndertowClient.getInstance()
        .connect(new Sender(request, answer), uri, worker, buffers, OptionMap.EMPTY);
    return await(answer);
  }

  private String await(CompletableFuture<String> answer) throws IOException {
    try {
      return answer.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    } catch (TimeoutException e) {
      answer.cancel(false);
      throw new IOException("no answer in time", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  @Override
  public void close() {
    worker.shutdownNow();
    buffers.close();
  }

  /** Sends a request once the connection is there. */
  private record Sender(ClientRequest request, CompletableFuture<String> answer)
      implements ClientCallback<ClientConnection> {
    @Override
    public void completed(ClientConnection connection) {
      var unused = answer.whenComplete((body, error) -> IoUtils.safeClose(connection));
      connection.sendRequest(
          request,
          new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
              exchange.setResponseListener(new Reader(answer));
            }

            @Override
            public void failed(IOException e) {
              answer.completeExceptionally(e);
            }
          });
    }

    @Override
    public void failed(IOException e) {
      answer.completeExceptionally(e);
    }
  }

  /** Reads the answer. */
  private record Reader(CompletableFuture<String> answer)
      implements ClientCallback<ClientExchange> {
    @Override
    public void completed(ClientExchange exchange) {
      int status = exchange.getResponse().getResponseCode();
      if (status != OK) {
        answer.completeExceptionally(new IOException("status " + status));
        return;
      }
      new StringReadChannelListener(exchange.getConnection().getBufferPool()) {
        @Override
        protected void stringDone(String body) {
          answer.complete(body);
        }

        @Override
        protected void error(IOException e) {
          answer.completeExceptionally(e);
        }
      }.setup(exchange.getResponseChannel());
    }

    @Override
    public void failed(IOException e) {
      answer.completeExceptionally(e);
    }
  }
}
