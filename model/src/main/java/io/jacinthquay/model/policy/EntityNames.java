package io.jacinthquay.model.policy;

/** Returns names of entities of the policy document. */
final class EntityNames {
  private EntityNames() {}

  /**
   * Returns the name of an entity.
   *
   * @throws IllegalArgumentException if the entity is not part of the policy document
   */
  static String of(Object entity) {
    if (entity instanceof ClassPolicy c) {
      return c.name().value();
    }
    if (entity instanceof CustomerPolicy c) {
      return c.name().value();
    }
    if (entity instanceof DomainPolicy d) {
      return d.name().value();
    }
    if (entity instanceof ModelPolicy m) {
      return m.name().value();
    }
    if (entity instanceof PoolPolicy p) {
      return p.name().value();
    }
    if (entity instanceof RoutePolicy r) {
      return r.name().value();
    }
    throw new IllegalArgumentException(
        "not an entity of the policy document: " + entity.getClass());
  }
}
