package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.router.port.StreamOrigins.Knowledge;
import io.jacinthquay.router.port.StreamOrigins.Origin;
import io.jacinthquay.router.service.forward.ForwardMetrics;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.RelayReportMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import io.jacinthquay.wire.gen.StreamQuestionMessage;
import io.jacinthquay.wire.transport.PlainServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.ProcessFunction;
import org.apache.thrift.TBase;
import org.apache.thrift.TMultiplexedProcessor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests whom a router asks for the version that began a stream. */
final class OriginFinderTest {
  private static final StreamId STREAM = StreamId.of(Optional.empty(), "attempt");
  private static final Optional<CustomerId> CUSTOMER = Optional.of(new CustomerId("c"));
  private static final PoolName POOL = new PoolName("p");

  /** Timeout that only ends a test that hangs; nothing is measured against it. */
  private static final long HANG_TIMEOUT_SECONDS = 60;

  /** Long where an answer is expected, so that a busy machine doesn't change the result. */
  private static final Duration LONG_LIMIT = Duration.ofSeconds(30);

  private static final Duration SHORT_LIMIT = Duration.ofMillis(700);

  private final List<PlainServer> servers = new ArrayList<>();
  private final CountDownLatch testEnd = new CountDownLatch(1);
  private final StreamOriginLog origins = new StreamOriginLog(System::nanoTime);
  private final PoolVersionRuns versions = new PoolVersionRuns();
  private final List<Service> services = new ArrayList<>();
  private OriginFinder finder;

  /** How a control VM behaves. */
  private enum Behaviour {
    KNOWS,
    FOLLOWS,
    /** Leads, and learns of the stream from the third question on. */
    RECOVERS,
    /** Leads, and no router has reported the stream so far. */
    RECOVERING,
    /** Leads, and knows no stream and no only version. */
    UNKNOWING,
    /** Leads, and takes v1 for the only version of the pool. */
    NAMES_ONE,
    STALLS,
    /** Answers with a stream id that is too short. */
    INVALID,
    /** Has no such method. */
    OLDER,
    GONE
  }

  private final class ControlVm implements Control.Iface {
    private final Behaviour behaviour;
    private final AtomicInteger questions = new AtomicInteger();

    ControlVm(Behaviour behaviour) {
      this.behaviour = behaviour;
    }

    @Override
    public StreamOriginsMessage findOrigins(List<StreamQuestionMessage> asked) {
      boolean late = questions.incrementAndGet() >= 3;
      StreamOriginsMessage answer =
          new StreamOriginsMessage(
              behaviour != Behaviour.FOLLOWS, new ArrayList<>(), new HashMap<>());
      switch (behaviour) {
        case KNOWS -> answer.addToFound(found(STREAM.bytes()));
        case INVALID -> answer.addToFound(found(new byte[3]));
        case RECOVERS, RECOVERING -> {
          answer.setRecovering(true);
          if (late && behaviour == Behaviour.RECOVERS) {
            answer.addToFound(found(STREAM.bytes()));
          }
        }
        case NAMES_ONE -> answer.putToOnlyVersions(POOL.value(), "v1");
        case STALLS -> awaitTestEnd();
        default -> {}
      }
      return answer;
    }

    private void awaitTestEnd() {
      try {
        boolean unused = testEnd.await(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private static StreamOriginMessage found(byte[] stream) {
      return new StreamOriginMessage(ByteBuffer.wrap(stream), POOL.value(), "v1", 10);
    }

    @Override
    public ControlViewMessage exchange(RouterReportMessage report) {
      throw new UnsupportedOperationException();
    }

    @Override
    public ControlViewMessage relay(RelayReportMessage report) {
      throw new UnsupportedOperationException();
    }
  }

  /** Serves the methods of a map, from which a test may remove some. */
  private static final class MapProcessor extends Control.Processor<Control.Iface> {
    MapProcessor(
        Control.Iface handler,
        Map<String, ProcessFunction<Control.Iface, ? extends TBase<?, ?>>> methods) {
      super(handler, rawMap(methods));
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static Map<String, ProcessFunction<Control.Iface, ? extends TBase>> rawMap(
        Map<String, ProcessFunction<Control.Iface, ? extends TBase<?, ?>>> methods) {
      return (Map) methods;
    }
  }

  private String start(Behaviour behaviour) {
    InetSocketAddress address = freeAddress();
    if (behaviour != Behaviour.GONE) {
      Map<String, ProcessFunction<Control.Iface, ? extends TBase<?, ?>>> methods = new HashMap<>();
      MapProcessor processor = new MapProcessor(new ControlVm(behaviour), methods);
      if (behaviour == Behaviour.OLDER) {
        methods.remove("findOrigins");
      }
      TMultiplexedProcessor processors = new TMultiplexedProcessor();
      processors.registerProcessor("control", processor);
      PlainServer server = new PlainServer(address, processors);
      server.start();
      servers.add(server);
    }
    return SocketAddresses.format(address);
  }

  private static InetSocketAddress freeAddress() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private void startFinder(List<String> addresses, Duration limit) {
    startFinder(addresses, limit, Runnable::run);
  }

  private void startFinder(List<String> addresses, Duration limit, Executor ioThread) {
    finder =
        new OriginFinder(
            new KnownControls(() -> addresses),
            origins,
            versions,
            new OriginMonitor(new ForwardMetrics(), origins, System::nanoTime),
            limit,
            ioThread);
    finder.start();
    services.add(finder);
  }

  @AfterEach
  void stop() {
    testEnd.countDown();
    services.forEach(Service::stop);
    servers.forEach(PlainServer::stop);
  }

  @ParameterizedTest
  @CsvSource({
    "KNOWS, KNOWN",
    "FOLLOWS KNOWS, KNOWN",
    "GONE GONE KNOWS, KNOWN",
    "STALLS KNOWS, KNOWN",
    "INVALID KNOWS, KNOWN",
    "OLDER KNOWS, KNOWN",
    "RECOVERS, KNOWN",
    "RECOVERING, NO_ANSWER",
    "FOLLOWS FOLLOWS, NO_ANSWER",
    "STALLS, NO_ANSWER",
    "INVALID, NO_ANSWER",
    "OLDER, NO_ANSWER",
    "GONE, NO_ANSWER"
  })
  void asksControlVmsUntilTheLeaderKnows(String behaviours, Knowledge expected) throws Exception {
    List<String> addresses = new ArrayList<>();
    for (String behaviour : behaviours.split(" ")) {
      addresses.add(start(Behaviour.valueOf(behaviour)));
    }
    startFinder(addresses, expected == Knowledge.KNOWN ? LONG_LIMIT : SHORT_LIMIT);
    CompletableFuture<Origin> found = new CompletableFuture<>();
    finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), found::complete);
    assertEquals(expected, found.get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS).knowledge());
    assertEquals(expected == Knowledge.KNOWN, origins.find(STREAM).isPresent());
  }

  /** Take-ups were refused while nobody led, and while a leader recovered. */
  @ParameterizedTest
  @CsvSource({"GONE, KNOWN", "FOLLOWS, KNOWN", "RECOVERING, KNOWN", "UNKNOWING, UNKNOWN"})
  void listsAnswerWhileNoLeaderDoes(Behaviour behaviour, Knowledge expected) throws Exception {
    List<String> addresses = List.of(start(behaviour));
    long now = System.nanoTime();
    listVersion("v1", now - 1);
    versions.recordLeader(POOL, Optional.of(new SoftwareVersion("v1")), now);
    startFinder(addresses, LONG_LIMIT);
    CompletableFuture<Origin> found = new CompletableFuture<>();
    finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), found::complete);
    for (long seconds = 1; seconds <= HANG_TIMEOUT_SECONDS; seconds++) {
      listVersion("v1", now + TimeUnit.SECONDS.toNanos(seconds));
    }
    assertEquals(expected, found.get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS).knowledge());
  }

  /** Another version appeared and left while nobody led, and the next leader took the older one. */
  @ParameterizedTest
  @CsvSource({"v1, KNOWN", "v2, UNKNOWN"})
  void leaderIsNotBelievedThatMissedAVersion(String listed, Knowledge expected) throws Exception {
    listVersion(listed, System.nanoTime() - TimeUnit.SECONDS.toNanos(3));
    listVersion("v1", System.nanoTime());
    startFinder(List.of(start(Behaviour.NAMES_ONE)), LONG_LIMIT);
    CompletableFuture<Origin> found = new CompletableFuture<>();
    finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), found::complete);
    assertEquals(expected, found.get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS).knowledge());
  }

  private void listVersion(String version, long polledNanos) {
    versions.record(List.of(PoolVersionRunsTest.listing(version)), polledNanos, polledNanos);
  }

  /** An answer that could not be delivered ended the thread, or delivered others twice. */
  @ParameterizedTest
  @CsvSource({"KNOWS", "GONE"})
  void failedDeliveryLeavesOtherQuestionsAnsweredOnce(Behaviour behaviour) throws Exception {
    AtomicInteger deliveries = new AtomicInteger();
    startFinder(
        List.of(start(behaviour)),
        SHORT_LIMIT,
        task -> {
          if (deliveries.incrementAndGet() == 3) {
            throw new RejectedExecutionException("the third delivery fails");
          }
          task.run();
        });
    askAndAwait();
    AtomicInteger answers = new AtomicInteger();
    finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), origin -> answers.incrementAndGet());
    finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), origin -> answers.incrementAndGet());
    askAndAwait();
    assertEquals(1, answers.get());
    assertEquals(4, deliveries.get());
  }

  /**
   * A stream of an upstream that was started again went on at its former version, which the leader
   * knew, although this router had recorded both.
   */
  @ParameterizedTest
  @CsvSource({"v1, KNOWN", "v1 v2, UNKNOWN", "'', KNOWN"})
  void leaderIsNotBelievedThatKnowsOneOfTwoVersions(String recorded, Knowledge expected)
      throws Exception {
    InetSocketAddress leader = SocketAddresses.parse(start(Behaviour.KNOWS));
    ControlStreamOrigins remembered =
        new ControlStreamOrigins(() -> List.of(leader), () -> Runnable::run, new ForwardMetrics());
    remembered.start();
    services.add(remembered);
    for (String version : recorded.isEmpty() ? new String[0] : recorded.split(" ")) {
      remembered.record(STREAM, POOL, new SoftwareVersion(version));
    }
    CompletableFuture<Origin> found = new CompletableFuture<>();
    remembered.find(CUSTOMER, Optional.of(STREAM), List.of(POOL), found::complete);
    assertEquals(expected, found.get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS).knowledge());
  }

  private void askAndAwait() throws Exception {
    CompletableFuture<Origin> found = new CompletableFuture<>();
    finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), found::complete);
    found.get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** A take-up hung until its caller left, as its question was asked while the finder stopped. */
  @Test
  void questionsAskedDuringTheStopAreAnswered() throws Exception {
    for (int run = 0; run < 300; run++) {
      startFinder(List.of(), SHORT_LIMIT);
      CountDownLatch answered = new CountDownLatch(400);
      Thread stopper = new Thread(finder::stop);
      stopper.start();
      for (int i = 0; i < 400; i++) {
        finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), origin -> answered.countDown());
      }
      assertTrue(answered.await(5, TimeUnit.SECONDS), "no answer in run " + run);
      stopper.join();
    }
  }

  /** Made-up streams of one customer took the places of all take-ups of the others. */
  @Test
  void floodOfOneCustomerLeavesPlacesForOthers() throws Exception {
    startFinder(List.of(start(Behaviour.KNOWS)), LONG_LIMIT);
    for (int i = 0; i < 5_000; i++) {
      finder.ask(
          Optional.of(new CustomerId("flood")),
          Optional.of(StreamId.of(Optional.empty(), "flood-" + i)),
          List.of(POOL),
          origin -> {});
    }
    CompletableFuture<Origin> found = new CompletableFuture<>();
    finder.ask(CUSTOMER, Optional.of(STREAM), List.of(POOL), found::complete);
    assertEquals(Knowledge.KNOWN, found.get(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS).knowledge());
  }

  /** Questions that nobody answers must neither be held without bound nor be forgotten. */
  @Test
  void floodOfQuestionsIsAnsweredOnceEach() throws Exception {
    int questions = 5_000;
    AtomicInteger answers = new AtomicInteger();
    CountDownLatch answered = new CountDownLatch(questions);
    startFinder(List.of(start(Behaviour.GONE)), SHORT_LIMIT);
    for (int i = 0; i < questions; i++) {
      finder.ask(
          Optional.empty(),
          Optional.of(StreamId.of(Optional.empty(), "flood-" + i)),
          List.of(POOL),
          origin -> {
            assertEquals(Origin.NO_ANSWER, origin);
            answers.incrementAndGet();
            answered.countDown();
          });
    }
    assertTrue(answers.get() >= questions - 2 * 512, "too many questions are held");
    assertTrue(answered.await(HANG_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertEquals(questions, answers.get());
  }
}
