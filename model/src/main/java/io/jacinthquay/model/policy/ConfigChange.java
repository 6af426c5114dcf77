package io.jacinthquay.model.policy;

import io.jacinthquay.model.ConfigVersion;
import java.util.List;
import java.util.Objects;

/**
 * A committed configuration change. All of its edits take effect atomically.
 *
 * @param version the version of the configuration after the change
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
