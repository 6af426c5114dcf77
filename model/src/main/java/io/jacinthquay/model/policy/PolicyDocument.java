package io.jacinthquay.model.policy;

import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A validated policy document, stored as the JSON form of each of its entities.
 *
 * <p>Instances are created by {@link PolicyParser}.
 */
public final class PolicyDocument {
  private final SortedMap<EntityKey, String> entities;

  PolicyDocument(Map<EntityKey, String> entities) {
    this.entities = new TreeMap<>(Objects.requireNonNull(entities, "entities"));
  }

  /** Returns the canonical JSON of each entity, ordered by key. */
  public SortedMap<EntityKey, String> entities() {
    return new TreeMap<>(entities);
  }
}
