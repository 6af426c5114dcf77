package io.jacinthquay.model.policy;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Validates configuration changes before they are committed.
 *
 * <p>A change is valid if all of its edits parse, no reference points to a missing entity and no
 * withdrawn key becomes valid again.
 *
 * <pre>{@code
 * Either<Failure, Policy> next = ChangeValidator.apply(current, change);
 * }</pre>
 *
 * <p>The cost is proportional to the number of edits. Only a change that removes an entity has a
 * cost proportional to the size of the whole state.
 */
public final class ChangeValidator {
  private ChangeValidator() {}

  /**
   * Returns the state after a valid change, or the reason why the change is invalid.
   *
   * @param current the state before the change
   * @param change the change to validate and apply
   */
  public static Either<Failure, Policy> apply(Policy current, ConfigChange change) {
    Optional<Failure> failure = checkEdits(current, change);
    if (failure.isPresent()) {
      return Either.left(failure.get());
    }
    return current.apply(change).flatMap(next -> checkReferences(next, change));
  }

  private static Optional<Failure> checkEdits(Policy current, ConfigChange change) {
    if (change.edits().isEmpty()) {
      return invalid("the change has no edits");
    }
    Set<EntityKey> editedKeys = new HashSet<>();
    for (EntityEdit edit : change.edits()) {
      if (!editedKeys.add(edit.key())) {
        return invalid(describe(edit.key()) + " is edited more than once");
      }
      Optional<Failure> failure =
          edit.key().kind() == EntityKind.KEY ? checkKey(current, edit) : checkName(edit);
      if (failure.isPresent()) {
        return failure;
      }
    }
    return Optional.empty();
  }

  private static Optional<Failure> checkName(EntityEdit edit) {
    EntityKind kind = edit.key().kind();
    String name;
    try {
      name = validName(kind, edit.key().name());
    } catch (IllegalArgumentException e) {
      return invalid(e.getMessage());
    }
    if (!kind.inDocument() || edit.json().isEmpty()) {
      return Optional.empty();
    }
    Either<Failure, ?> entity = EntityJson.read(edit.json().get(), kind.type());
    if (entity.isLeft()) {
      return invalid(describe(edit.key()) + ": " + entity.getLeft().detail());
    }
    return EntityNames.of(entity.get()).equals(name)
        ? Optional.empty()
        : invalid(
            describe(edit.key()) + ": the name in the JSON differs from the name of the entity");
  }

  private static String validName(EntityKind kind, String name) {
    return switch (kind) {
      case DOMAIN_STATE -> new DomainId(name).value();
      case VM_STATE -> new VmId(name).value();
      default -> name;
    };
  }

  private static Optional<Failure> checkKey(Policy current, EntityEdit edit) {
    KeyDigest digest;
    try {
      digest = new KeyDigest(edit.key().name());
    } catch (IllegalArgumentException e) {
      return invalid(e.getMessage());
    }
    if (edit.json().isEmpty()) {
      return invalid("a key cannot be removed, only withdrawn");
    }
    Either<Failure, KeyRecord> record = EntityJson.read(edit.json().get(), KeyRecord.class);
    if (record.isLeft()) {
      return Optional.of(record.getLeft());
    }
    return checkKeyRecord(current.key(digest), record.get());
  }

  private static Optional<Failure> checkKeyRecord(Optional<KeyRecord> current, KeyRecord updated) {
    if (current.isEmpty()) {
      return updated.withdrawn()
          ? Optional.of(Failure.of(ResultCode.ENTITY_UNKNOWN, "the key was never issued"))
          : Optional.empty();
    }
    if (!updated.withdrawn()) {
      return Optional.of(Failure.of(ResultCode.KEY_EXISTS));
    }
    CustomerId owner = current.get().customer();
    return owner.equals(updated.customer())
        ? Optional.empty()
        : invalid("the key belongs to another customer");
  }

  private static Either<Failure, Policy> checkReferences(Policy next, ConfigChange change) {
    Set<EntityKey> removedKeys = new HashSet<>();
    for (EntityEdit edit : change.edits()) {
      if (edit.json().isEmpty()) {
        removedKeys.add(edit.key());
        continue;
      }
      Object entity = next.recordOf(edit.key()).orElseThrow();
      for (EntityKey target : ReferenceValidator.targetsOf(edit.key(), entity)) {
        if (next.recordOf(target).isEmpty()) {
          return Either.left(unknownTarget(edit.key(), target));
        }
      }
    }
    return removedKeys.isEmpty() ? Either.right(next) : checkRemoved(next, removedKeys);
  }

  private static Either<Failure, Policy> checkRemoved(Policy next, Set<EntityKey> removedKeys) {
    for (EntityKey key : next.entities().keySet()) {
      for (EntityKey target : ReferenceValidator.targetsOf(key, next.recordOf(key).orElseThrow())) {
        if (removedKeys.contains(target)) {
          return Either.left(unknownTarget(key, target));
        }
      }
    }
    return Either.right(next);
  }

  private static Failure unknownTarget(EntityKey source, EntityKey target) {
    String detail = describe(source) + " refers to the unknown entity " + describe(target);
    return Failure.of(ResultCode.CONFIG_INVALID, detail);
  }

  private static Optional<Failure> invalid(String detail) {
    return Optional.of(Failure.of(ResultCode.CONFIG_INVALID, detail));
  }

  private static String describe(EntityKey key) {
    return "/" + key.kind().section() + "/" + key.name();
  }
}
