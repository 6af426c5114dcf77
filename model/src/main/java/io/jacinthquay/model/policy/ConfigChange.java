package io.jacinthquay.model.policy;

import io.jacinthquay.model.ConfigVersion;
import java.util.List;
import java.util.Objects;

/**
 * One committed change: all of its edits come into force together.
 *
 * @param version the version that the change produces
 * @param edits the edits, at least one
 */
public record ConfigChange(ConfigVersion version, List<EntityEdit> edits) {
  /**
   * Copies the edits.
   *
   * @throws NullPointerException if a part is missing
   */
  public ConfigChange {
    Objects.requireNonNull(version, "version");
    edits = List.copyOf(edits);
  }
}
