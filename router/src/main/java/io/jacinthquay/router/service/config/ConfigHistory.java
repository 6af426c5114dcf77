package io.jacinthquay.router.service.config;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.policy.ConfigChange;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The latest changes, for readers that are not far behind; guarded by its own lock. */
public final class ConfigHistory {
  /** Most changes that are kept. */
  private static final int MAX_CHANGES = 1_024;

  private final Deque<ConfigChange> changes = new ArrayDeque<>();
  private ConfigVersion base = ConfigVersion.NONE;
  private ConfigVersion newest = ConfigVersion.NONE;

  /** Takes in a change that has come into force. */
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

  /** Waits until a version newer than {@code known} is in force, or until the time is over. */
  public synchronized void awaitNewer(ConfigVersion known, Duration wait) {
    long end = System.nanoTime() + wait.toNanos();
    long left = wait.toMillis();
    try {
      while (newest.compareTo(known) <= 0 && left > 0) {
        wait(left);
        left = Duration.ofNanos(end - System.nanoTime()).toMillis();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the changes after one version up to another, unless some are no longer kept. */
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
