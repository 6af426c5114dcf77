package io.jacinthquay.router.port;

import io.jacinthquay.model.ConfigVersion;
import java.util.Map;
import java.util.Objects;

/**
 * The configuration versions that a reader has in force.
 *
 * @param inForce version in force at the reader itself
 * @param relayed versions in force at the readers that poll through this one, by name
 */
public record ConfigPosition(ConfigVersion inForce, Map<String, ConfigVersion> relayed) {
  /**
   * Copies the map.
   *
   * @throws NullPointerException if a component is null
   */
  public ConfigPosition {
    Objects.requireNonNull(inForce, "inForce");
    relayed = Map.copyOf(relayed);
  }
}
