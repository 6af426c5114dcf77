package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.RequestId;
import java.io.IOException;
import java.net.Socket;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.HdrHistogram.Recorder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Callers go on with a stream after the last event, and name the attempt that began it. */
final class TakeUpCallerTest {
  private static final int CALLERS = 60;
  private static final int RUN_SECONDS = 6;
  private static final int END_SECONDS = 20;

  /** Time for a caller to read an event before its connection is reset. */
  private static final int READ_MILLIS = 50;

  private final Map<String, HttpCodec.Head> heads = new ConcurrentHashMap<>();

  /** How a server breaks a stream off. */
  private enum Break {
    CLOSE,
    RESET
  }

  /** Sends one event of each stream, or none to a first attempt, and breaks off. */
  private void breakOff(Socket socket, Break how) throws IOException {
    while (true) {
      HttpCodec.Head head = HttpCodec.readHead(socket.getInputStream());
      HttpCodec.readBody(head, socket.getInputStream(), part -> {});
      String attempt = head.field("Attempt-Id");
      heads.put(attempt, head);
      if (!head.secondWord().startsWith(CallKind.RESUME.pathPrefix())) {
        socket.getOutputStream().write(HttpCodec.encode("HTTP/1.1 500 Broken\r\n\r\n"));
        continue;
      }
      RequestId stream =
          new RequestId(head.secondWord().substring(CallKind.RESUME.pathPrefix().length()));
      boolean first = attempt.equals(stream.value());
      if (!first || stream.value().hashCode() % 2 == 0) {
        int next = 1 + (int) head.longField("Last-Event-Id").orElse(0);
        socket
            .getOutputStream()
            .write(
                HttpCodec.encode(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + HttpCodec.encodeChunk(StreamTexts.event(stream, next))));
      }
      if (how == Break.RESET) {
        pause();
        Acceptor.reset(socket);
      }
      return;
    }
  }

  private static void pause() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the server was interrupted", e);
    }
  }

  /** A caller that failed to close a reset connection forgot the events that it had received. */
  @ParameterizedTest
  @EnumSource
  void furtherAttemptsNameTheOneThatBroughtTheFirstEvent(Break how) throws Exception {
    History history = new History();
    AtomicBoolean keepRunning = new AtomicBoolean(true);
    ExecutorService threads = Executors.newCachedThreadPool();
    try (Acceptor server = new Acceptor(socket -> breakOff(socket, how))) {
      for (int i = 0; i < CALLERS; i++) {
        threads.execute(
            new CallerLoop(
                i,
                List.of(server.address()),
                history,
                new SplittableRandom(i),
                keepRunning::get,
                new Recorder(2)));
      }
      TimeUnit.SECONDS.sleep(RUN_SECONDS);
      keepRunning.set(false);
      threads.shutdown();
      assertTrue(threads.awaitTermination(END_SECONDS, TimeUnit.SECONDS));
    }
    int thirdTries = 0;
    for (Map.Entry<RequestId, List<Call>> tries : history.streams().entrySet()) {
      assertTrue(tries.getValue().size() <= 4, tries.toString());
      Optional<Call> firstEvent = Optional.empty();
      int lastEvent = 0;
      for (Call call : tries.getValue()) {
        HttpCodec.Head head = heads.get(call.id().value());
        assertEquals(Documents.Customer.of(tries.getKey()), Documents.Customer.of(call.id()));
        if (head != null && call.takeUp().isPresent()) {
          assertEquals(lastEvent, head.longField("Last-Event-Id").orElse(0));
          String named = head.field("Resumes");
          switch (lastEvent == 0 ? TakeUp.Named.NOTHING : call.takeUp().get().named()) {
            case FIRST_EVENT -> assertEquals(firstEvent.orElseThrow().id().value(), named);
            case NOTHING -> assertEquals("", named);
            default -> assertFalse(named.startsWith(tries.getKey().value() + "-t"), named);
          }
          thirdTries += lastEvent > 1 ? 1 : 0;
        }
        if (!call.body().isEmpty()) {
          firstEvent = firstEvent.or(() -> Optional.of(call));
          lastEvent++;
        }
      }
    }
    assertTrue(thirdTries > 0);
    assertEquals(
        EnumSet.allOf(TakeUp.Named.class),
        history.calls().stream()
            .flatMap(call -> call.takeUp().stream())
            .map(TakeUp::named)
            .collect(Collectors.toSet()));
  }
}
