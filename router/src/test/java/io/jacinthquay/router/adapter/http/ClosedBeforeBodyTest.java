package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.runtime.http.BufferBudget;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Checks that no body is passed on as whole if the connection closes before it has arrived. */
@Timeout(30)
final class ClosedBeforeBodyTest {
  private final CompletableFuture<String> outcome = new CompletableFuture<>();
  private XnioWorker worker;
  private int port;
  private boolean closeEarly;

  @BeforeEach
  void start() throws IOException {
    HttpOpenListener http = new HttpOpenListener(new DefaultByteBufferPool(false, 1_024));
    http.setRootHandler(
        exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> read(exchange)));
    worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
    AcceptingChannel<StreamConnection> listener =
        worker.createStreamConnectionServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            ChannelListeners.openListenerAdapter(http),
            OptionMap.EMPTY);
    listener.resumeAccepts();
    port = listener.getLocalAddress(InetSocketAddress.class).getPort();
  }

  @AfterEach
  void stop() {
    worker.shutdownNow();
  }

  private void read(HttpServerExchange exchange) {
    if (closeEarly) {
      IoUtils.safeClose(exchange.getConnection());
    }
    BodyReader reader =
        new BodyReader(exchange, ListenerLimits.defaults(), new BufferBudget(1_024));
    reader.read(
        body -> outcome.complete(body.length + " bytes"),
        failure -> outcome.complete(failure.detail()));
    if (closeEarly) {
      outcome.complete("none");
    }
  }

  @ParameterizedTest
  @CsvSource({
    "true, Content-Length: 5, hello, none",
    "true, Content-Length: 5, '', none",
    "true, Transfer-Encoding: chunked, '', none",
    "true, X-No-Body: 1, '', none",
    "false, Content-Length: 5, hello, 5 bytes",
    "false, Content-Length: 0, '', 0 bytes",
    "false, X-No-Body: 1, '', 0 bytes"
  })
  void bodyIsPassedOnOnlyIfItIsWhole(boolean closes, String header, String body, String expected)
      throws Exception {
    closeEarly = closes;
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      String request = "POST /a HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n" + body;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      assertEquals(expected, outcome.get(10, TimeUnit.SECONDS));
    }
  }
}
