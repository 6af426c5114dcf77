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

/** Polls a configuration source on its own thread and applies what it hears. */
public final class ConfigFollower implements Service {
  private static final Logger log = LogManager.getLogger();
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(100);

  private final ConfigSource source;
  private final PolicyHolder policies;
  private final KeyLease lease;
  private final Supplier<Map<String, ConfigVersion>> relayed;
  private final Duration wait;
  private volatile boolean running;
  private volatile long heardNanos;
  private Thread thread;

  /**
   * Returns a follower.
   *
   * @param source where changes come from
   * @param policies receives them
   * @param lease renewed by each answer
   * @param relayed versions in force at readers of this router, by name
   * @param wait longest time of one poll; well under the length of a key lease
   */
  public ConfigFollower(
      ConfigSource source,
      PolicyHolder policies,
      KeyLease lease,
      Supplier<Map<String, ConfigVersion>> relayed,
      Duration wait) {
    this.source = source;
    this.policies = policies;
    this.lease = lease;
    this.relayed = relayed;
    this.wait = wait;
    this.heardNanos = System.nanoTime();
  }

  @Override
  public void start() {
    running = true;
    thread = new Thread(this::follow, "config");
    thread.setDaemon(true);
    thread.start();
  }

  private void follow() {
    while (running) {
      long sent = System.nanoTime();
      ConfigPosition position = new ConfigPosition(policies.version(), relayed.get());
      Either<Failure, ConfigUpdate> update = source.poll(position, wait);
      boolean applied = update.isRight() && apply(update.get(), sent);
      if (update.isLeft()) {
        log.debug("no configuration source answered: {}", update.getLeft().detail());
      }
      if (!applied && running) {
        pause();
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
        log.error("a configuration change was refused: {}", applied.getLeft().detail());
        return false;
      }
      log.info("configuration version {} is in force", applied.get().value());
    }
    heardNanos = System.nanoTime();
    if (policies.version().compareTo(update.newest()) >= 0) {
      lease.renew(sentNanos + update.keysCurrent().toNanos());
    }
    return true;
  }

  /** Returns the time since a source last answered, in nanoseconds. */
  public long ageNanos(long nowNanos) {
    return nowNanos - heardNanos;
  }

  private void pause() {
    try {
      Thread.sleep(PAUSE_AFTER_FAILURE.toMillis());
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
      thread.join(wait.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
