package io.jacinthquay.model.policy;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration in force: an immutable state with typed look-ups.
 *
 * <pre>{@code
 * Policy next = policy.apply(change).get();
 * Optional<KeyRecord> key = next.key(KeyDigest.ofKey(presented));
 * }</pre>
 *
 * <p>Applying a change costs time in proportion to its edits, not to the size of the state.
 */
public final class Policy {
  private static final Policy EMPTY =
      new Policy(ConfigVersion.NONE, HashMap.empty(), HashMap.empty());

  private final ConfigVersion version;
  private final HashMap<EntityKey, String> json;
  private final HashMap<EntityKey, Object> typed;

  private Policy(
      ConfigVersion version, HashMap<EntityKey, String> json, HashMap<EntityKey, Object> typed) {
    this.version = version;
    this.json = json;
    this.typed = typed;
  }

  /** Returns the state before any change. */
  public static Policy empty() {
    return EMPTY;
  }

  /**
   * Returns the state after a change.
   *
   * @param change a change whose version is newer than {@link #version()}
   * @return the new state, or a failure if the version is not newer or an entity does not parse
   */
  public Either<Failure, Policy> apply(ConfigChange change) {
    if (change.version().compareTo(version) <= 0) {
      return Either.left(
          Failure.of(
              ResultCode.CONFIG_VERSION_CONFLICT,
              "version " + change.version().value() + " is not newer than " + version.value()));
    }
    HashMap<EntityKey, String> nextJson = json;
    HashMap<EntityKey, Object> nextTyped = typed;
    for (EntityEdit edit : change.edits()) {
      if (edit.json().isEmpty()) {
        nextJson = nextJson.remove(edit.key());
        nextTyped = nextTyped.remove(edit.key());
        continue;
      }
      String text = edit.json().get();
      Either<Failure, ?> entity = EntityJson.read(text, edit.key().kind().type());
      if (entity.isLeft()) {
        return Either.left(entity.getLeft());
      }
      nextJson = nextJson.put(edit.key(), text);
      nextTyped = nextTyped.put(edit.key(), entity.get());
    }
    return Either.right(new Policy(change.version(), nextJson, nextTyped));
  }

  /** Returns the version of this state. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the canonical JSON of every entity, keys and states included. */
  public SortedMap<EntityKey, String> entities() {
    return new TreeMap<>(json.toJavaMap());
  }

  /** Returns the JSON of one entity. */
  public Optional<String> entity(EntityKey key) {
    return json.get(key).toJavaOptional();
  }

  /** Returns the record of one entity. */
  Optional<Object> typed(EntityKey key) {
    return typed.get(key).toJavaOptional();
  }

  /** Returns a customer. */
  public Optional<CustomerPolicy> customer(CustomerId id) {
    return find(EntityKind.CUSTOMER, id.value(), CustomerPolicy.class);
  }

  /** Returns a class. */
  public Optional<ClassPolicy> classPolicy(ClassName name) {
    return find(EntityKind.CLASS, name.value(), ClassPolicy.class);
  }

  /** Returns a model. */
  public Optional<ModelPolicy> model(ModelName name) {
    return find(EntityKind.MODEL, name.value(), ModelPolicy.class);
  }

  /** Returns a pool. */
  public Optional<PoolPolicy> pool(PoolName name) {
    return find(EntityKind.POOL, name.value(), PoolPolicy.class);
  }

  /** Returns what is known of a key; the look-up compares digests, never keys. */
  public Optional<KeyRecord> key(KeyDigest digest) {
    return find(EntityKind.KEY, digest.hex(), KeyRecord.class);
  }

  /** Returns whether operators have taken a failure domain out. */
  public boolean isOut(DomainId domain) {
    return find(EntityKind.DOMAIN_STATE, domain.value(), DomainState.class)
        .map(DomainState::out)
        .orElse(false);
  }

  /** Returns whether a VM or upstream is marked as leaving. */
  public boolean isLeaving(String vm) {
    return find(EntityKind.VM_STATE, vm, VmState.class).map(VmState::leaving).orElse(false);
  }

  /** Returns the route with the longest prefix that matches a path. */
  public Optional<RoutePolicy> route(String path) {
    return all(EntityKind.ROUTE, RoutePolicy.class).values().stream()
        .filter(route -> route.matches(path))
        .max(Comparator.comparingInt(route -> route.prefix().length()));
  }

  /**
   * Returns all entities of a kind by name.
   *
   * <p>The cost grows with the number of all entities; keep the result on busy paths.
   *
   * @param type the record of that kind
   * @throws ClassCastException if {@code type} is not the record of {@code kind}
   */
  public <T> Map<String, T> all(EntityKind kind, Class<T> type) {
    Objects.requireNonNull(type, "type");
    Map<String, T> found = new TreeMap<>();
    typed.forEach(
        (key, entity) -> {
          if (key.kind() == kind) {
            found.put(key.name(), type.cast(entity));
          }
        });
    return found;
  }

  private <T> Optional<T> find(EntityKind kind, String name, Class<T> type) {
    return typed.get(new EntityKey(kind, name)).map(type::cast).toJavaOptional();
  }
}
