package io.jacinthquay.model.policy;

import java.util.Comparator;
import java.util.Objects;

/**
 * The key of an entity of the configuration.
 *
 * @param kind the kind of entity
 * @param name its name, unique within the kind
 */
public record EntityKey(EntityKind kind, String name) implements Comparable<EntityKey> {
  private static final Comparator<EntityKey> ORDER =
      Comparator.comparing(EntityKey::kind).thenComparing(EntityKey::name);

  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public EntityKey {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
  }

  @Override
  public int compareTo(EntityKey other) {
    return ORDER.compare(this, other);
  }
}
