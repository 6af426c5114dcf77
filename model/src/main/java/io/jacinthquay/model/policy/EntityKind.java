package io.jacinthquay.model.policy;

import java.util.Arrays;
import java.util.Optional;

/** A kind of configuration entity. */
public enum EntityKind {
  /** A {@link DomainPolicy}. */
  DOMAIN("domains", DomainPolicy.class),
  /** A {@link ClassPolicy}. */
  CLASS("classes", ClassPolicy.class),
  /** A {@link PoolPolicy}. */
  POOL("pools", PoolPolicy.class),
  /** A {@link ModelPolicy}. */
  MODEL("models", ModelPolicy.class),
  /** A {@link CustomerPolicy}. */
  CUSTOMER("customers", CustomerPolicy.class),
  /** A {@link RoutePolicy}. */
  ROUTE("routes", RoutePolicy.class),
  /** A {@link KeyRecord}, named by the key's digest; not part of the policy document. */
  KEY("keys", KeyRecord.class),
  /** A {@link DomainState}, named by the failure domain; not part of the policy document. */
  DOMAIN_STATE("domain_states", DomainState.class),
  /** A {@link VmState}, named by the VM or upstream; not part of the policy document. */
  VM_STATE("vm_states", VmState.class);

  private final String section;
  private final Class<?> type;

  EntityKind(String section, Class<?> type) {
    this.section = section;
    this.type = type;
  }

  /** Returns the name of the section in the policy document. */
  public String section() {
    return section;
  }

  /** Returns the record type of entities of this kind. */
  public Class<?> type() {
    return type;
  }

  /** Returns whether entities of this kind are part of the policy document. */
  public boolean inDocument() {
    return this != KEY && this != DOMAIN_STATE && this != VM_STATE;
  }

  /** Returns the kind of a section, or empty if there is no such section. */
  public static Optional<EntityKind> ofSection(String section) {
    return Arrays.stream(values()).filter(kind -> kind.section.equals(section)).findFirst();
  }
}
