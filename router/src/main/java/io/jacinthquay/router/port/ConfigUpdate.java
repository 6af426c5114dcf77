package io.jacinthquay.router.port;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.policy.ConfigChange;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * The result of one poll of a configuration source.
 *
 * @param newest the newest version known to the source
 * @param snapshot whether the single change holds the whole state instead of a delta
 * @param changes the changes, in the order of their versions
 * @param keysCurrent how long the key table at {@code newest} is current, counted from the time the
 *     poll was sent
 */
public record ConfigUpdate(
    ConfigVersion newest, boolean snapshot, List<ConfigChange> changes, Duration keysCurrent) {
  /**
   * Copies the changes.
   *
   * @throws NullPointerException if a component is null
   */
  public ConfigUpdate {
    Objects.requireNonNull(newest, "newest");
    Objects.requireNonNull(keysCurrent, "keysCurrent");
    changes = List.copyOf(changes);
  }
}
