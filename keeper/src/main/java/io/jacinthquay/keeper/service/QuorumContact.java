package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.runtime.Service;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Knows when this keeper last heard from a quorum, by a read index every interval.
 *
 * <p>The instant is that before the read was asked for, and it is published once the local state
 * has caught up with the read.
 */
public final class QuorumContact implements Service {
  private final ReplicatedLog log;
  private final Duration interval;
  private final AtomicReference<OptionalLong> confirmed =
      new AtomicReference<>(OptionalLong.empty());
  private ScheduledExecutorService scheduler;

  /**
   * Returns a contact.
   *
   * @param log the log
   * @param interval time between two reads
   */
  public QuorumContact(ReplicatedLog log, Duration interval) {
    this.log = log;
    this.interval = interval;
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

  private void probe() {
    long asked = System.nanoTime();
    var unused = log.readIndex().thenAccept(index -> index.forEach(i -> confirm(asked)));
  }

  private void confirm(long asked) {
    confirmed.accumulateAndGet(
        OptionalLong.of(asked),
        (old, now) -> old.isPresent() && old.getAsLong() - now.getAsLong() > 0 ? old : now);
  }

  /** Returns the newest confirmed instant on {@link System#nanoTime()}, if there is one. */
  public OptionalLong confirmedNanos() {
    return confirmed.get();
  }

  @Override
  public void stop() {
    if (scheduler != null) {
      scheduler.shutdownNow();
    }
  }
}
