package io.jacinthquay.router.service.config;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.policy.ConfigChange;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The latest configuration changes, so that a reader that is not far behind gets only the changes
 * that it lacks.
 *
 * <p>Thread-safe; guarded by its own lock.
 */
public final class ConfigHistory {
  /** Largest number of changes that are kept. */
  private static final int MAX_CHANGES = 1_024;

  private final Deque<ConfigChange> changes = new ArrayDeque<>();

  /** Version that the oldest kept change builds on. */
  private ConfigVersion base = ConfigVersion.NONE;

  private ConfigVersion newest = ConfigVersion.NONE;

  /**
   * Adds a change that is now in force.
   *
   * @param snapshot whether the change holds the whole configuration; earlier changes are removed
   */
  synchronized void add(ConfigChange change, boolean snapshot) {
    if (snapshot) {
      changes.clear();
      base = change.version();
    } else {
      changes.addLast(change);
    }
    while (changes.size() > MAX_CHANGES) {
      base = changes.removeFirst().version();
    }
    newest = change.version();
    notifyAll();
  }

  /**
   * Waits until a version newer than {@code known} is in force or the timeout has passed.
   *
   * <p>Returns early if the thread is interrupted, and sets its interrupt flag again.
   */
  public synchronized void awaitNewer(ConfigVersion known, Duration timeout) {
    long endNanos = System.nanoTime() + timeout.toNanos();
    long leftMillis = timeout.toMillis();
    try {
      while (newest.compareTo(known) <= 0 && leftMillis > 0) {
        wait(leftMillis);
        leftMillis = Duration.ofNanos(endNanos - System.nanoTime()).toMillis();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the changes after one version up to and including another.
   *
   * @return the changes in the order of versions; empty if some of them are no longer kept
   */
  public synchronized Optional<List<ConfigChange>> between(ConfigVersion from, ConfigVersion to) {
    if (from.compareTo(base) < 0) {
      return Optional.empty();
    }
    return Optional.of(
        changes.stream()
            .filter(c -> c.version().compareTo(from) > 0 && c.version().compareTo(to) <= 0)
            .toList());
  }
}
