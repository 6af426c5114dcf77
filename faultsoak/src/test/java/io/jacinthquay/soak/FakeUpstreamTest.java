package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.RequestId;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The faults of an upstream that a router has to bear on a connection that it keeps. */
final class FakeUpstreamTest {
  private static final int CONNECTIONS = 12;
  private static final int MAX_TRIES = 20;
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger lateCopies = new AtomicInteger();
  private final AtomicInteger announcedCloses = new AtomicInteger();
  private final AtomicInteger brokenConnections = new AtomicInteger();
  private final AtomicInteger unusualHeads = new AtomicInteger();

  @Test
  void responsesComeLateAgainAndConnectionsClose() throws Exception {
    History history = new History();
    ExecutorService threads = Executors.newCachedThreadPool();
    try (FakeUpstream upstream = new FakeUpstream(0, 1, 0, history)) {
      List<Callable<Void>> callers =
          IntStream.range(0, CONNECTIONS)
              .<Callable<Void>>mapToObj(number -> () -> call(upstream, number))
              .toList();
      for (Future<Void> caller : threads.invokeAll(callers)) {
        caller.get();
      }
    } finally {
      threads.shutdownNow();
    }
    assertTrue(counts().allMatch(count -> count > 0), counts().toList().toString());
    assertEquals(List.of(), history.unexpected());
  }

  private Stream<Integer> counts() {
    return Stream.of(copies, lateCopies, announcedCloses, brokenConnections, unusualHeads)
        .map(AtomicInteger::get);
  }

  /** Sends requests one after the other, on a new connection after the end of one. */
  private Void call(FakeUpstream upstream, int number) throws IOException {
    int sent = 0;
    BooleanSupplier inTime = SoakRun.within(TIMEOUT);
    BooleanSupplier goOn = () -> inTime.getAsBoolean() && counts().anyMatch(count -> count == 0);
    while (goOn.getAsBoolean()) {
      try (Socket socket =
          new Socket(upstream.address().getAddress(), upstream.address().getPort())) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        List<String> answered = new ArrayList<>();
        boolean closes = false;
        while (goOn.getAsBoolean() && !closes) {
          sent++;
          String id = "c" + number + "-" + sent;
          socket.getOutputStream().write(HttpCodec.encode(request(id)));
          closes = awaitResponse(id, in, answered);
        }
      } catch (IOException e) {
        // The upstream broke off or closed an idle connection.
        brokenConnections.incrementAndGet();
      }
    }
    return null;
  }

  private static String request(String id) {
    return "GET " + CallKind.SAFE.pathPrefix() + id + " HTTP/1.1\r\nAttempt-Id: " + id + "\r\n\r\n";
  }

  /** Reads up to the response to a request; returns whether the upstream closes the connection. */
  private boolean awaitResponse(String id, InputStream in, List<String> answered)
      throws IOException {
    while (true) {
      HttpCodec.Head head = HttpCodec.readHead(in);
      StringBuilder body = new StringBuilder();
      HttpCodec.readBody(head, in, body::append);
      String answeredId = head.field("Attempt-Id");
      if (head.line().equals("HTTP/1.1 200 ")) {
        unusualHeads.incrementAndGet();
      }
      if (answeredId.equals(id)) {
        answered.add(id);
        boolean closes = head.field("Connection").equals("close");
        announcedCloses.addAndGet(closes ? 1 : 0);
        return closes;
      }
      assertTrue(answered.contains(answeredId), "a copy of an answer that was not sent");
      copies.incrementAndGet();
      if (!answered.get(answered.size() - 1).equals(answeredId)) {
        lateCopies.incrementAndGet();
      }
    }
  }

  /** A stream goes on with the next event, which tells the version that made it. */
  @Test
  void releasedUpstreamGoesOnAfterTheLastEvent() throws Exception {
    RequestId stream = new RequestId("c1-1");
    try (FakeUpstream upstream = new FakeUpstream(0, 1, 0, 3, new History())) {
      upstream.restart("i-0-1", 4);
      List<StreamEvent> events = List.of();
      for (int i = 0; i < MAX_TRIES && events.isEmpty(); i++) {
        events = takeUp(upstream, stream, 2);
      }
      assertEquals(3, events.get(0).number());
      assertEquals(stream, events.get(0).stream());
      assertEquals("v4", events.get(0).version());
      assertTrue(events.get(0).run().startsWith("i-0-1/"), events.toString());
    }
  }

  private static List<StreamEvent> takeUp(FakeUpstream upstream, RequestId stream, int after)
      throws IOException {
    StringBuilder body = new StringBuilder();
    try (Socket socket =
        new Socket(upstream.address().getAddress(), upstream.address().getPort())) {
      String request =
          "GET "
              + CallKind.RESUME.pathPrefix()
              + stream.value()
              + " HTTP/1.1\r\nAttempt-Id: c1-1-t1\r\nLast-Event-Id: "
              + after
              + "\r\n\r\n";
      socket.getOutputStream().write(HttpCodec.encode(request));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      HttpCodec.readBody(HttpCodec.readHead(in), in, body::append);
    } catch (IOException e) {
      // The upstream broke off.
    }
    return StreamText.parse(body.toString()).events();
  }
}
