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
 * Decides whether a change may be committed: it must parse, keep every reference whole and never
 * give a withdrawn key back.
 *
 * <pre>{@code
 * Either<Failure, Policy> next = ChangeCheck.apply(current, change);
 * }</pre>
 *
 * <p>The cost grows with the number of edits, and with the whole state only where an edit removes
 * an entity.
 */
public final class ChangeCheck {
  private ChangeCheck() {}

  /**
   * Returns the state after a valid change, or why the change is refused.
   *
   * @param current the state before the change
   * @param change the change
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
      return invalid("the change holds no edits");
    }
    Set<EntityKey> seen = new HashSet<>();
    for (EntityEdit edit : change.edits()) {
      if (!seen.add(edit.key())) {
        return invalid(describe(edit.key()) + " is edited twice");
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
        : invalid(describe(edit.key()) + " holds another name");
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
      return invalid("a key is withdrawn, never removed");
    }
    Either<Failure, KeyRecord> record = EntityJson.read(edit.json().get(), KeyRecord.class);
    if (record.isLeft()) {
      return Optional.of(record.getLeft());
    }
    return checkKeyRecord(current.key(digest), record.get());
  }

  private static Optional<Failure> checkKeyRecord(Optional<KeyRecord> before, KeyRecord after) {
    if (before.isEmpty()) {
      return after.withdrawn()
          ? Optional.of(Failure.of(ResultCode.ENTITY_UNKNOWN, "the key was never issued"))
          : Optional.empty();
    }
    if (!after.withdrawn()) {
      return Optional.of(Failure.of(ResultCode.KEY_EXISTS));
    }
    CustomerId owner = before.get().customer();
    return owner.equals(after.customer())
        ? Optional.empty()
        : invalid("the key belongs to another customer");
  }

  private static Either<Failure, Policy> checkReferences(Policy next, ConfigChange change) {
    Set<EntityKey> removed = new HashSet<>();
    for (EntityEdit edit : change.edits()) {
      if (edit.json().isEmpty()) {
        removed.add(edit.key());
        continue;
      }
      Object entity = next.typed(edit.key()).orElseThrow();
      for (EntityKey target : ReferenceCheck.targetsOf(edit.key(), entity)) {
        if (next.typed(target).isEmpty()) {
          return Either.left(unknownTarget(edit.key(), target));
        }
      }
    }
    return removed.isEmpty() ? Either.right(next) : checkRemoved(next, removed);
  }

  private static Either<Failure, Policy> checkRemoved(Policy next, Set<EntityKey> removed) {
    for (EntityKey key : next.entities().keySet()) {
      for (EntityKey target : ReferenceCheck.targetsOf(key, next.typed(key).orElseThrow())) {
        if (removed.contains(target)) {
          return Either.left(unknownTarget(key, target));
        }
      }
    }
    return Either.right(next);
  }

  private static Failure unknownTarget(EntityKey from, EntityKey to) {
    String detail = describe(from) + " names the unknown " + describe(to);
    return Failure.of(ResultCode.CONFIG_INVALID, detail);
  }

  private static Optional<Failure> invalid(String detail) {
    return Optional.of(Failure.of(ResultCode.CONFIG_INVALID, detail));
  }

  private static String describe(EntityKey key) {
    return "/" + key.kind().section() + "/" + key.name();
  }
}
