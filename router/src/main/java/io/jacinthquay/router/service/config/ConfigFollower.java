package io.jacinthquay.router.service.config;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.router.port.ConfigPosition;
import io.jacinthquay.router.port.ConfigSource;
import io.jacinthquay.router.port.ConfigUpdate;
import io.jacinthquay.runtime.Service;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Polls a configuration source on its own thread and applies the changes that it returns. */
public final class ConfigFollower implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Time before the next poll after a failed poll or a rejected change. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);

  private final ConfigSource source;
  private final PolicyHolder policies;
  private final KeyLease lease;
  private final Supplier<Map<String, ConfigVersion>> relayed;
  private final Duration pollTimeout;
  private volatile boolean running;
  private volatile long lastSuccessNanos;
  private Thread thread;

  /**
   * Returns a follower that has not started.
   *
   * @param source the source of changes
   * @param policies the holder that changes are applied to
   * @param lease the key lease, renewed by each poll after which this router has the newest version
   * @param relayed returns the versions in force at the readers of this router, by name
   * @param pollTimeout longest time of one poll; well under the length of a key lease
   */
  public ConfigFollower(
      ConfigSource source,
      PolicyHolder policies,
      KeyLease lease,
      Supplier<Map<String, ConfigVersion>> relayed,
      Duration pollTimeout) {
    this.source = source;
    this.policies = policies;
    this.lease = lease;
    this.relayed = relayed;
    this.pollTimeout = pollTimeout;
    this.lastSuccessNanos = System.nanoTime();
  }

  @Override
  public void start() {
    running = true;
    thread = new Thread(this::run, "config");
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    while (running) {
      long sentNanos = System.nanoTime();
      ConfigPosition position = new ConfigPosition(policies.version(), relayed.get());
      Either<Failure, ConfigUpdate> update = source.poll(position, pollTimeout);
      boolean applied = update.isRight() && apply(update.get(), sentNanos);
      if (update.isLeft()) {
        log.debug("no configuration source responded: {}", update.getLeft().detail());
      }
      if (!applied && running) {
        waitBeforeRetry();
      }
    }
  }

  private boolean apply(ConfigUpdate update, long sentNanos) {
    for (ConfigChange change : update.changes()) {
      if (change.version().compareTo(policies.version()) <= 0) {
        continue;
      }
      Either<Failure, ConfigVersion> applied = policies.apply(change, update.snapshot());
      if (applied.isLeft()) {
        log.error("configuration change rejected: {}", applied.getLeft().detail());
        return false;
      }
      log.info("configuration version {} is in force", applied.get().value());
    }
    lastSuccessNanos = System.nanoTime();
    if (policies.version().compareTo(update.newest()) >= 0) {
      lease.renew(sentNanos + update.keysCurrent().toNanos());
    }
    return true;
  }

  /**
   * Returns the time since the last poll whose changes were all applied, in nanoseconds; since the
   * creation of this follower before the first one.
   */
  public long updateAgeNanos(long nowNanos) {
    return nowNanos - lastSuccessNanos;
  }

  private void waitBeforeRetry() {
    try {
      Thread.sleep(RETRY_DELAY.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      running = false;
    }
  }

  @Override
  public void stop() {
    running = false;
    if (thread == null) {
      return;
    }
    thread.interrupt();
    try {
      thread.join(pollTimeout.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
