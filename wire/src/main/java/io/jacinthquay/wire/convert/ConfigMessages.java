package io.jacinthquay.wire.convert;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.wire.gen.CallFailed;
import io.jacinthquay.wire.gen.ChangeMessage;
import io.jacinthquay.wire.gen.EditMessage;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts configuration changes and failures. */
public final class ConfigMessages {
  private ConfigMessages() {}

  /** Returns the message for a change. */
  public static ChangeMessage toMessage(ConfigChange change) {
    List<EditMessage> edits = change.edits().stream().map(ConfigMessages::toMessage).toList();
    return new ChangeMessage(change.version().value(), edits);
  }

  /** Returns the message for an edit. */
  public static EditMessage toMessage(EntityEdit edit) {
    EditMessage message = new EditMessage(edit.key().kind().section(), edit.key().name());
    edit.json().ifPresent(message::setJson);
    return message;
  }

  /** Returns the change that a message carries, or a failure if an edit is malformed. */
  public static Either<Failure, ConfigChange> fromMessage(ChangeMessage message) {
    if (message.getVersion() < 0) {
      return Either.left(Failure.of(ResultCode.CONFIG_INVALID, "version is negative"));
    }
    ConfigVersion version = new ConfigVersion(message.getVersion());
    return editsFromMessages(message.getEdits()).map(edits -> new ConfigChange(version, edits));
  }

  /** Returns the edits that messages carry, or a failure if one is malformed. */
  public static Either<Failure, List<EntityEdit>> editsFromMessages(List<EditMessage> messages) {
    if (messages == null) {
      return Either.left(Failure.of(ResultCode.CONFIG_INVALID, "list of edits is missing"));
    }
    List<EntityEdit> edits = new ArrayList<>();
    for (EditMessage message : messages) {
      Optional<EntityKind> kind = EntityKind.ofSection(String.valueOf(message.getSection()));
      if (kind.isEmpty() || message.getName() == null) {
        return Either.left(
            Failure.of(ResultCode.CONFIG_INVALID, "no such section: " + message.getSection()));
      }
      EntityKey key = new EntityKey(kind.get(), message.getName());
      edits.add(new EntityEdit(key, Optional.ofNullable(message.getJson())));
    }
    return Either.right(edits);
  }

  /** Returns the exception that carries a failure. */
  public static CallFailed toMessage(Failure failure) {
    return new CallFailed(failure.code().number(), failure.detail());
  }

  /** Returns the failure that an exception carries. */
  public static Failure fromMessage(CallFailed exception) {
    ResultCode code = ResultCode.of(exception.getCode()).orElse(ResultCode.INTERNAL);
    return Failure.of(code, String.valueOf(exception.getDetail()));
  }
}
