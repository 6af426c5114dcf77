package io.jacinthquay.model.policy;

import io.jacinthquay.model.ClassName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Finds entities that name entities which do not exist. */
final class ReferenceCheck {
  private ReferenceCheck() {}

  /** A reference without a target. */
  record Missing(EntityKey from, EntityKey to) {}

  /** Returns every reference of {@code entities} that has no target among them. */
  static List<Missing> missing(Map<EntityKey, String> entities) {
    List<Missing> missing = new ArrayList<>();
    entities.forEach(
        (key, json) -> {
          for (EntityKey target : targets(key, json)) {
            if (!entities.containsKey(target)) {
              missing.add(new Missing(key, target));
            }
          }
        });
    return missing;
  }

  private static List<EntityKey> targets(EntityKey key, String json) {
    return EntityJson.read(json, key.kind().type())
        .map(entity -> targetsOf(key, entity))
        .getOrElse(List.of());
  }

  /** Returns the entities that an entity needs; a withdrawn key needs none. */
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
