package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jacinthquay.runtime.http.BufferBudget;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** Checks that the state of a connection can't be used on another thread than its own. */
@Timeout(30)
final class ConnectionThreadTest {
  private final CompletableFuture<StreamConnection> accepted = new CompletableFuture<>();
  private XnioWorker worker;
  private Socket socket;

  @BeforeEach
  void connect() throws IOException {
    worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
    AcceptingChannel<StreamConnection> listener =
        worker.createStreamConnectionServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            ChannelListeners.openListenerAdapter(accepted::complete),
            OptionMap.EMPTY);
    listener.resumeAccepts();
    int port = listener.getLocalAddress(InetSocketAddress.class).getPort();
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
  }

  @AfterEach
  void close() throws IOException {
    socket.close();
    worker.shutdownNow();
  }

  static Stream<Consumer<TrackedConnection>> uses() {
    return Stream.of(
        TrackedConnection::isUsed,
        TrackedConnection::completeHead,
        TrackedConnection::beginRequest,
        TrackedConnection::endRequest,
        TrackedConnection::markBoundary,
        TrackedConnection::closeIfIdle,
        TrackedConnection::close);
  }

  @ParameterizedTest
  @MethodSource("uses")
  void connectionIsNotUsedOnAnotherThread(Consumer<TrackedConnection> use) {
    StreamConnection connection = accepted.join();
    ReadAheadSource source =
        new ReadAheadSource(
            connection.getSourceChannel().getConduit(),
            new ReadAhead(new BufferBudget(1), 1),
            new TurnQueue(connection.getIoThread()),
            () -> {});
    TrackedConnection tracked =
        new TrackedConnection(
            connection,
            source,
            new WriteWatch(connection.getSinkChannel().getConduit()),
            new FairBound<>(1),
            new BufferBudget(1));
    assertThrows(AssertionError.class, () -> use.accept(tracked));
  }
}
