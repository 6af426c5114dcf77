package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.router.port.StreamOrigins.Origin;
import io.jacinthquay.runtime.RepeatingTask;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.convert.OriginMessages;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import io.jacinthquay.wire.gen.StreamQuestionMessage;
import io.jacinthquay.wire.transport.Channel;
import io.jacinthquay.wire.transport.PlainChannel;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMultiplexedProtocol;

/**
 * Asks the leading control VM which versions began streams, in a thread of its own, many questions
 * in one call. The connection is opened on demand and closed when it is idle.
 */
final class OriginFinder implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Name of the Thrift service on a control VM's multiplexed port. */
  private static final String SERVICE = "control";

  /** Maximum number of questions that wait, of all customers. */
  private static final int MAX_QUESTIONS = 1_024;

  /** Maximum number of questions in one call, about 15 KB. */
  private static final int MAX_CALL_QUESTIONS = 512;

  /**
   * Time after which a question gets no answer; a call that is under way then is awaited. A caller
   * that waits for longer does better with a refusal and another attempt.
   */
  static final Duration LIMIT = Duration.ofSeconds(1);

  /** Further time for which the next list is awaited if that can answer a question. */
  private static final Duration LIST_WAIT = Duration.ofMillis(1_500);

  /** Shortest time between two calls to the leader, in milliseconds. */
  private static final long MIN_INTERVAL_MILLIS = 50;

  /**
   * Time between two calls to the leader, in milliseconds per router, as between two exchanges of
   * the link, so that a flood of questions doesn't take the leader from the exchanges.
   */
  private static final double INTERVAL_MILLIS_PER_ROUTER = 3.2;

  /** Longest time between two calls, in milliseconds; a question is asked three times at least. */
  private static final long MAX_INTERVAL_MILLIS = 300;

  /**
   * Time between two calls that ask the leader to confirm the only versions that are listed, in
   * milliseconds: the least one, and the one per router. Calls end with the confirmation.
   */
  private static final long CONFIRM_MILLIS = 1_000;

  private static final long CONFIRM_MILLIS_PER_ROUTER = 10;

  /** Timeouts for connecting to and for reading from a control VM, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 200;

  private static final int READ_TIMEOUT_MILLIS = 300;

  /** Time without a question after which the connection is closed, in milliseconds. */
  private static final long IDLE_MILLIS = 5_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final KnownControls controls;
  private final StreamOriginLog origins;
  private final PoolVersionRuns versions;
  private final OriginMonitor monitor;
  private final long limitNanos;
  private final Executor ioThread;
  private final OriginQuestions questions = new OriginQuestions(MAX_QUESTIONS);
  private final RepeatingTask task =
      new RepeatingTask("origin-finder", this::awaitAndTryStep, this::end);
  private String target;
  private Channel channel;
  private long calledNanos = System.nanoTime() - MAX_INTERVAL_MILLIS * NANOS_PER_MILLI;
  private long confirmNanos = System.nanoTime();

  /**
   * Returns a finder that has not started.
   *
   * @param controls the control VMs that may lead
   * @param origins receives what is found
   * @param versions answers while no leader does
   * @param limit time after which a question gets no answer
   * @param ioThread runs what the questions get
   */
  OriginFinder(
      KnownControls controls,
      StreamOriginLog origins,
      PoolVersionRuns versions,
      OriginMonitor monitor,
      Duration limit,
      Executor ioThread) {
    this.limitNanos = limit.toNanos();
    this.controls = controls;
    this.origins = origins;
    this.versions = versions;
    this.monitor = monitor;
    this.ioThread = ioThread;
  }

  @Override
  public void start() {
    task.start();
  }

  @Override
  public void stop() {
    task.stop();
  }

  /** Asks a question. Called on the I/O thread, which {@code found} runs on, too. */
  void ask(
      Optional<CustomerId> customer,
      Optional<StreamId> stream,
      List<PoolName> pools,
      Consumer<Origin> found) {
    OriginQuestion question =
        new OriginQuestion(customer, stream, List.copyOf(pools), System.nanoTime(), found);
    Optional<OriginQuestion> withoutPlace =
        task.isRunning() ? questions.add(question) : Optional.of(question);
    withoutPlace.ifPresent(
        refused -> {
          monitor.recordAnswer(OriginMonitor.Outcome.NO_ANSWER);
          refused.found().accept(Origin.NO_ANSWER);
        });
  }

  private void awaitAndTryStep() throws InterruptedException {
    awaitQuestions();
    tryStep();
  }

  private void end() {
    questions.close();
    resolve(questions.all(), question -> Optional.of(OriginAnswer.Resolution.NO_ANSWER));
    disconnect();
  }

  /** Waits until there are questions, or versions to confirm, and the next call is due. */
  private void awaitQuestions() throws InterruptedException {
    if (!questions.await(CONFIRM_MILLIS)) {
      if (System.nanoTime() - calledNanos >= IDLE_MILLIS * NANOS_PER_MILLI) {
        disconnect();
      }
      return;
    }
    long waitNanos = calledNanos + intervalNanos() - System.nanoTime();
    if (waitNanos > 0) {
      TimeUnit.NANOSECONDS.sleep(waitNanos);
    }
  }

  private long intervalNanos() {
    double millis = INTERVAL_MILLIS_PER_ROUTER * controls.routers();
    return Math.min(MAX_INTERVAL_MILLIS, Math.max(MIN_INTERVAL_MILLIS, (long) millis))
        * NANOS_PER_MILLI;
  }

  /** Asks once; nothing that is thrown may end the thread, which nothing would replace. */
  private void tryStep() {
    List<PoolName> unconfirmed = unconfirmedPools();
    List<OriginQuestion> asked = questions.first(MAX_CALL_QUESTIONS);
    if (asked.isEmpty() && unconfirmed.isEmpty()) {
      return;
    }
    tryRun(() -> step(asked, unconfirmed));
    tryRun(this::resolveExpired);
  }

  /** Returns the pools whose only versions the leader is to confirm with the next call. */
  private List<PoolName> unconfirmedPools() {
    long now = System.nanoTime();
    if (now - confirmNanos < 0) {
      return List.of();
    }
    long millis = Math.max(CONFIRM_MILLIS, CONFIRM_MILLIS_PER_ROUTER * controls.routers());
    confirmNanos = now + millis * NANOS_PER_MILLI;
    return versions.unconfirmed();
  }

  private void step(List<OriginQuestion> asked, List<PoolName> unconfirmed) {
    Optional<OriginAnswer> leader = askLeader(asked, unconfirmed);
    leader.ifPresent(answer -> resolve(asked, answer::resolve));
    if (leader.isEmpty() || leader.get().recovering()) {
      resolve(
          questions.all(),
          question ->
              question.onlyPool().flatMap(pool -> onlyVersionListed(pool, question.askedNanos())));
    }
  }

  private Optional<OriginAnswer.Resolution> onlyVersionListed(PoolName pool, long askedNanos) {
    return versions
        .onlyVersion(pool, askedNanos)
        .map(version -> OriginAnswer.Resolution.onlyVersion(pool, version));
  }

  private void tryRun(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      log.error("the question for the versions of streams failed", e);
      disconnect();
    }
  }

  private void resolveExpired() {
    long now = System.nanoTime();
    resolve(
        questions.all(),
        question ->
            now - question.askedNanos() >= limitNanos(question)
                ? Optional.of(OriginAnswer.Resolution.NO_ANSWER)
                : Optional.empty());
  }

  private long limitNanos(OriginQuestion question) {
    boolean listMayAnswer = question.onlyPool().filter(versions::isConfirmed).isPresent();
    return listMayAnswer ? limitNanos + LIST_WAIT.toNanos() : limitNanos;
  }

  /** Delivers what the resolver returns. A question loses its place before its delivery. */
  private void resolve(
      List<OriginQuestion> open,
      Function<OriginQuestion, Optional<OriginAnswer.Resolution>> resolver) {
    for (OriginQuestion question : open) {
      resolver
          .apply(question)
          .filter(result -> questions.remove(question))
          .ifPresent(result -> tryDeliver(() -> deliver(question, result)));
    }
  }

  private void tryDeliver(Runnable delivery) {
    try {
      delivery.run();
    } catch (RuntimeException | Error e) {
      log.error("the answer for the version of a stream could not be delivered", e);
    }
  }

  private void deliver(OriginQuestion question, OriginAnswer.Resolution resolution) {
    monitor.recordAnswer(resolution.outcome());
    ioThread.execute(() -> question.found().accept(resolution.origin()));
  }

  /** Asks the control VMs in turn until the leader answers; empty if none of them does. */
  private Optional<OriginAnswer> askLeader(List<OriginQuestion> asked, List<PoolName> unconfirmed) {
    calledNanos = System.nanoTime();
    List<StreamQuestionMessage> messages = new ArrayList<>();
    asked.forEach(
        question ->
            messages.add(OriginMessages.toQuestion(question.stream(), question.pools().get(0))));
    unconfirmed.forEach(pool -> messages.add(OriginMessages.toQuestion(Optional.empty(), pool)));
    Set<String> called = new HashSet<>();
    for (Optional<String> next = next(called); next.isPresent(); next = next(called)) {
      called.add(next.get());
      Optional<OriginAnswer> answer = call(next.get(), messages);
      if (answer.isPresent()) {
        answer.get().found().values().forEach(origins::recordFound);
        recordVersions(messages, answer.get());
        return answer;
      }
      disconnect();
      boolean waitedFor = asked.isEmpty() && !questions.isEmpty();
      if (!task.isRunning() || waitedFor || System.nanoTime() - calledNanos >= limitNanos) {
        break;
      }
    }
    return Optional.empty();
  }

  private void recordVersions(List<StreamQuestionMessage> asked, OriginAnswer answer) {
    if (answer.recovering()) {
      return;
    }
    asked.stream()
        .map(question -> new PoolName(question.getPool()))
        .distinct()
        .forEach(
            pool ->
                versions.recordLeader(
                    pool, Optional.ofNullable(answer.onlyVersions().get(pool)), calledNanos));
  }

  /** Returns the control VM to ask: the one that is connected, or else one not asked yet. */
  private Optional<String> next(Set<String> asked) {
    return channel != null
        ? Optional.of(target)
        : controls.candidates().stream().filter(address -> !asked.contains(address)).findFirst();
  }

  /** Asks a control VM; empty if it doesn't lead or gave no usable answer. */
  private Optional<OriginAnswer> call(String address, List<StreamQuestionMessage> asked) {
    try {
      if (channel == null) {
        target = address;
        channel =
            PlainChannel.open(
                SocketAddresses.parse(address), CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS);
      }
      StreamOriginsMessage answer =
          new Control.Client(new TMultiplexedProtocol(channel.protocol(), SERVICE))
              .findOrigins(asked);
      return answer.isLeads()
          ? Optional.of(checked(OriginAnswer.of(answer, System.nanoTime())))
          : Optional.empty();
    } catch (IOException | TException | IllegalArgumentException e) {
      monitor.recordFailedCall(address, e);
      return Optional.empty();
    }
  }

  /** Drops versions that are not the only ones here; a leader may have missed another. */
  private OriginAnswer checked(OriginAnswer answer) {
    return answer.withOnlyVersions(
        (pool, version) -> !versions.wasOtherListed(pool, version, answer.atNanos()));
  }

  private void disconnect() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }
}
