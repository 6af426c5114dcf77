package io.jacinthquay.model.policy;

import io.jacinthquay.model.ClassName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Finds references to entities that do not exist. */
final class ReferenceValidator {
  private ReferenceValidator() {}

  /** A reference whose target does not exist. */
  record DanglingReference(EntityKey source, EntityKey target) {}

  /** Returns every reference of {@code entities} whose target is not among them. */
  static List<DanglingReference> danglingReferences(Map<EntityKey, String> entities) {
    List<DanglingReference> dangling = new ArrayList<>();
    entities.forEach(
        (key, json) -> {
          for (EntityKey target : targets(key, json)) {
            if (!entities.containsKey(target)) {
              dangling.add(new DanglingReference(key, target));
            }
          }
        });
    return dangling;
  }

  private static List<EntityKey> targets(EntityKey key, String json) {
    return EntityJson.read(json, key.kind().type())
        .map(entity -> targetsOf(key, entity))
        .getOrElse(List.of());
  }

  /** Returns the keys of the entities that an entity refers to; none for a withdrawn key. */
  static List<EntityKey> targetsOf(EntityKey key, Object entity) {
    List<EntityKey> targets = new ArrayList<>();
    if (entity instanceof ModelPolicy m) {
      targets.add(new EntityKey(EntityKind.POOL, m.pool().value()));
    }
    if (entity instanceof CustomerPolicy c) {
      for (ClassName name : c.classes()) {
        targets.add(new EntityKey(EntityKind.CLASS, name.value()));
      }
      c.homeDomain().ifPresent(d -> targets.add(new EntityKey(EntityKind.DOMAIN, d.value())));
    }
    if (entity instanceof RoutePolicy r) {
      targets.add(new EntityKey(EntityKind.POOL, r.pool().value()));
      r.className().ifPresent(c -> targets.add(new EntityKey(EntityKind.CLASS, c.value())));
    }
    if (key.kind() == EntityKind.DOMAIN_STATE) {
      targets.add(new EntityKey(EntityKind.DOMAIN, key.name()));
    }
    if (entity instanceof KeyRecord k && !k.withdrawn()) {
      targets.add(new EntityKey(EntityKind.CUSTOMER, k.customer().value()));
    }
    return targets;
  }
}
