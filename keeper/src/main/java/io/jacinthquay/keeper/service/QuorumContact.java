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
 * Knows when this keeper last heard from a quorum, by a read index every interval.
 *
 * <p>The instant is that before the read was asked for, and it is published once the local state
 * has caught up with the read. Where the clocks disagree on how long ago it was, this VM may have
 * been suspended, and the instant counts for nothing.
 */
public final class QuorumContact implements Service {
  private final ReplicatedLog log;
  private final Duration interval;
  private final Supplier<ClockReading> clock;
  private final AtomicReference<Optional<ClockReading>> confirmed =
      new AtomicReference<>(Optional.empty());
  private ScheduledExecutorService scheduler;

  /**
   * Returns a contact.
   *
   * @param log the log
   * @param interval time between two reads
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
    ClockReading asked = clock.get();
    var unused = log.readIndex().thenAccept(index -> index.forEach(i -> confirm(asked)));
  }

  private void confirm(ClockReading asked) {
    confirmed.accumulateAndGet(
        Optional.of(asked),
        (old, now) -> old.filter(o -> o.nanos() - asked.nanos() > 0).or(() -> now));
  }

  /** Returns the newest confirmed instant on {@link System#nanoTime()}, if there is one. */
  public OptionalLong confirmedNanos() {
    return confirmed.get().stream()
        .filter(asked -> asked.agreesWith(clock.get()))
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
