package io.jacinthquay.model.policy;

import java.util.Objects;
import java.util.Optional;

/**
 * An edit that sets or removes one entity.
 *
 * <pre>{@code
 * EntityEdit edit = EntityEdit.set(new EntityKey(EntityKind.CLASS, "fit-advice"), json);
 * }</pre>
 *
 * @param key the key of the entity
 * @param json its new JSON form, or empty to remove it
 */
public record EntityEdit(EntityKey key, Optional<String> json) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public EntityEdit {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(json, "json");
  }

  /** Returns an edit that sets an entity. */
  public static EntityEdit set(EntityKey key, String json) {
    return new EntityEdit(key, Optional.of(json));
  }

  /** Returns an edit that removes an entity. */
  public static EntityEdit remove(EntityKey key) {
    return new EntityEdit(key, Optional.empty());
  }
}
