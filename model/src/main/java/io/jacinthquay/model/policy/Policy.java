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
 * An immutable version of the configuration, with typed lookups.
 *
 * <pre>{@code
 * Policy next = policy.apply(change).get();
 * Optional<KeyRecord> key = next.key(KeyDigest.ofKey(presentedKey));
 * }</pre>
 *
 * <p>The cost of applying a change is proportional to the number of its edits, not to the size of
 * the configuration.
 */
public final class Policy {
  private static final Policy EMPTY =
      new Policy(ConfigVersion.NONE, HashMap.empty(), HashMap.empty());

  private final ConfigVersion version;
  private final HashMap<EntityKey, String> jsonByKey;
  private final HashMap<EntityKey, Object> recordsByKey;

  private Policy(
      ConfigVersion version,
      HashMap<EntityKey, String> jsonByKey,
      HashMap<EntityKey, Object> recordsByKey) {
    this.version = version;
    this.jsonByKey = jsonByKey;
    this.recordsByKey = recordsByKey;
  }

  /** Returns the empty configuration, which no change has been applied to. */
  public static Policy empty() {
    return EMPTY;
  }

  /**
   * Returns the configuration after a change.
   *
   * @param change a change whose version is newer than {@link #version()}
   * @return the new configuration, or a failure if the version is not newer or an entity does not
   *     parse
   */
  public Either<Failure, Policy> apply(ConfigChange change) {
    if (change.version().compareTo(version) <= 0) {
      return Either.left(
          Failure.of(
              ResultCode.CONFIG_VERSION_CONFLICT,
              "version " + change.version().value() + " is not newer than " + version.value()));
    }
    HashMap<EntityKey, String> nextJson = jsonByKey;
    HashMap<EntityKey, Object> nextRecords = recordsByKey;
    for (EntityEdit edit : change.edits()) {
      if (edit.json().isEmpty()) {
        nextJson = nextJson.remove(edit.key());
        nextRecords = nextRecords.remove(edit.key());
        continue;
      }
      String text = edit.json().get();
      Either<Failure, ?> entity = EntityJson.read(text, edit.key().kind().type());
      if (entity.isLeft()) {
        return Either.left(entity.getLeft());
      }
      nextJson = nextJson.put(edit.key(), text);
      nextRecords = nextRecords.put(edit.key(), entity.get());
    }
    return Either.right(new Policy(change.version(), nextJson, nextRecords));
  }

  /** Returns the version of this configuration. */
  public ConfigVersion version() {
    return version;
  }

  /** Returns the canonical JSON of every entity, including keys and operational states. */
  public SortedMap<EntityKey, String> entities() {
    return new TreeMap<>(jsonByKey.toJavaMap());
  }

  /** Returns the JSON of one entity. */
  public Optional<String> entity(EntityKey key) {
    return jsonByKey.get(key).toJavaOptional();
  }

  /** Returns one entity as a record. */
  Optional<Object> recordOf(EntityKey key) {
    return recordsByKey.get(key).toJavaOptional();
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

  /** Returns the record of a key. The lookup compares digests, never keys. */
  public Optional<KeyRecord> key(KeyDigest digest) {
    return find(EntityKind.KEY, digest.hex(), KeyRecord.class);
  }

  /** Returns whether operators have taken a failure domain out of service. */
  public boolean isOutOfService(DomainId domain) {
    return find(EntityKind.DOMAIN_STATE, domain.value(), DomainState.class)
        .map(DomainState::out)
        .orElse(false);
  }

  /** Returns whether a VM or upstream is being drained. */
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
   * Returns all entities of a kind, keyed by name.
   *
   * <p>The cost is proportional to the total number of entities, so callers on the request path
   * should cache the result.
   *
   * @param type the record type of that kind
   * @throws ClassCastException if {@code type} is not the record type of {@code kind}
   */
  public <T> Map<String, T> all(EntityKind kind, Class<T> type) {
    Objects.requireNonNull(type, "type");
    Map<String, T> byName = new TreeMap<>();
    recordsByKey.forEach(
        (key, entity) -> {
          if (key.kind() == kind) {
            byName.put(key.name(), type.cast(entity));
          }
        });
    return byName;
  }

  private <T> Optional<T> find(EntityKind kind, String name, Class<T> type) {
    return recordsByKey.get(new EntityKey(kind, name)).map(type::cast).toJavaOptional();
  }
}
