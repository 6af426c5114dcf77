package io.jacinthquay.router.port;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.policy.ConfigChange;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * One answer of a configuration source.
 *
 * @param newest newest version that the source knows
 * @param snapshot whether the only change holds the whole state instead of a delta
 * @param changes in the order of their versions
 * @param keysCurrent how long the key table at {@code newest} is current, counted from when the
 *     call was sent
 */
public record ConfigUpdate(
    ConfigVersion newest, boolean snapshot, List<ConfigChange> changes, Duration keysCurrent) {
  /**
   * Copies the changes.
   *
   * @throws NullPointerException if a part is missing
   */
  public ConfigUpdate {
    Objects.requireNonNull(newest, "newest");
    Objects.requireNonNull(keysCurrent, "keysCurrent");
    changes = List.copyOf(changes);
  }
}
