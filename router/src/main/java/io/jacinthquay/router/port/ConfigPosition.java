package io.jacinthquay.router.port;

import io.jacinthquay.model.ConfigVersion;
import java.util.Map;
import java.util.Objects;

/**
 * What a reader of the configuration has in force.
 *
 * @param inForce its own version
 * @param relayed versions in force at readers that poll through this one, by name
 */
public record ConfigPosition(ConfigVersion inForce, Map<String, ConfigVersion> relayed) {
  /**
   * Copies the map.
   *
   * @throws NullPointerException if a part is missing
   */
  public ConfigPosition {
    Objects.requireNonNull(inForce, "inForce");
    relayed = Map.copyOf(relayed);
  }
}
