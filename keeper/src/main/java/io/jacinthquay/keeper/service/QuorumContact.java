package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.time.ClockReading;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Tracks when this keeper was last in contact with a quorum, by a periodic read index request.
 *
 * <p>The time of contact is taken before the request is sent, and is published once the local state
 * has applied the read index. If the monotonic and the wall clock disagree on how much time has
 * passed since then, this VM may have been suspended, and the contact is ignored.
 */
public final class QuorumContact implements Service {
  private final ReplicatedLog log;
  private final Duration interval;
  private final Supplier<ClockReading> clock;
  private final AtomicReference<Optional<ClockReading>> confirmed =
      new AtomicReference<>(Optional.empty());
  private ScheduledExecutorService scheduler;

  /**
   * Creates a contact that is not yet started.
   *
   * @param log the log
   * @param interval delay between two requests
   */
  public QuorumContact(ReplicatedLog log, Duration interval) {
    this(log, interval, ClockReading::now);
  }

  QuorumContact(ReplicatedLog log, Duration interval, Supplier<ClockReading> clock) {
    this.log = log;
    this.interval = interval;
    this.clock = clock;
  }

  @Override
  public void start() {
    scheduler =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "quorum-contact");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::probe, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
  }

  void probe() {
    ClockReading requested = clock.get();
    var unused = log.readIndex().thenAccept(index -> index.forEach(i -> confirm(requested)));
  }

  private void confirm(ClockReading requested) {
    confirmed.accumulateAndGet(
        Optional.of(requested),
        (previous, latest) ->
            previous.filter(p -> p.nanos() - requested.nanos() > 0).or(() -> latest));
  }

  /**
   * Returns the time of the last contact on {@link System#nanoTime()}, or empty if there is none.
   */
  public OptionalLong confirmedNanos() {
    return confirmed.get().stream()
        .filter(reading -> reading.agreesWith(clock.get()))
        .mapToLong(ClockReading::nanos)
        .findFirst();
  }

  @Override
  public void stop() {
    if (scheduler != null) {
      scheduler.shutdownNow();
    }
  }
}
