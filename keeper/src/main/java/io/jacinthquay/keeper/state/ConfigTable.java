package io.jacinthquay.keeper.state;

import io.jacinthquay.model.ChangeId;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.policy.ChangeValidator;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.ApplyCommand;
import io.jacinthquay.wire.gen.ApplyResult;
import io.jacinthquay.wire.gen.ChangeMessage;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.CommandFailure;
import io.jacinthquay.wire.gen.HistoryLine;
import io.jacinthquay.wire.gen.StoredAnswer;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.List;
import java.util.Optional;

/**
 * The configuration, the answers to recent change ids, and the history.
 *
 * @param policy the policy in force
 * @param answers answers by change id
 * @param log the most recent changes and the history
 */
public record ConfigTable(Policy policy, ChangeAnswers answers, ChangeLog log) {
  /** Expected version that matches every version; allowed only for edits of keys and states. */
  public static final long ANY_VERSION = -1;

  static final ConfigTable EMPTY =
      new ConfigTable(Policy.empty(), ChangeAnswers.EMPTY, ChangeLog.EMPTY);

  /** Returns the version in force. */
  public long version() {
    return policy.version().value();
  }

  /**
   * Returns the changes after a version, or empty if the log no longer holds them.
   *
   * @param version the version that the reader has
   * @param limit maximum number of changes
   */
  public Optional<List<ChangeMessage>> changesAfter(long version, int limit) {
    return log.after(version, limit);
  }

  /** Returns the most recent history lines, newest first. */
  public List<HistoryLine> history(int limit) {
    return log.newestLines(limit);
  }

  TableUpdate<ConfigTable> apply(ApplyCommand command, StateClock clock) {
    String digest = digest(command);
    Optional<StoredAnswer> earlier = answers.find(command.getChangeId());
    if (earlier.isPresent()) {
      return new TableUpdate<>(this, repeatedAnswer(earlier.get(), digest));
    }
    Either<Failure, ConfigTable> next = tryApply(command, digest, clock);
    if (next.isRight()) {
      return new TableUpdate<>(next.get(), applied(next.get().version(), false));
    }
    Failure failure = next.getLeft();
    StoredAnswer rejected = new StoredAnswer(command.getChangeId(), digest, version());
    rejected.setFailure(new CommandFailure(failure.code().number(), failure.detail()));
    ConfigTable withAnswer = new ConfigTable(policy, answers.with(rejected), log);
    return new TableUpdate<>(withAnswer, CommandAnswers.failure(failure));
  }

  private Either<Failure, ConfigTable> tryApply(
      ApplyCommand command, String digest, StateClock clock) {
    return ConfigMessages.editsFromMessages(command.getEdits())
        .flatMap(edits -> checkVersion(command, edits))
        .flatMap(
            edits ->
                ChangeValidator.apply(policy, new ConfigChange(policy.version().next(), edits)))
        .map(next -> commit(next, command, digest, clock));
  }

  private Either<Failure, List<EntityEdit>> checkVersion(
      ApplyCommand command, List<EntityEdit> edits) {
    Either<Throwable, ChangeId> id = Try.of(() -> new ChangeId(command.getChangeId())).toEither();
    if (id.isLeft()) {
      return Either.left(Failure.of(ResultCode.CONFIG_INVALID, id.getLeft().getMessage()));
    }
    long expected = command.getExpectedVersion();
    if (expected == ANY_VERSION) {
      boolean documentEdit = edits.stream().anyMatch(edit -> edit.key().kind().inDocument());
      return documentEdit
          ? Either.left(
              Failure.of(
                  ResultCode.CONFIG_VERSION_CONFLICT, "a policy edit needs an expected version"))
          : Either.right(edits);
    }
    if (expected != version()) {
      String detail = "expected version " + expected + ", the current one is " + version();
      return Either.left(Failure.of(ResultCode.CONFIG_VERSION_CONFLICT, detail));
    }
    return Either.right(edits);
  }

  private ConfigTable commit(Policy next, ApplyCommand command, String digest, StateClock clock) {
    long version = next.version().value();
    HistoryLine line =
        new HistoryLine(
            version,
            command.getChangeId(),
            clock.wallMillis(),
            command.getEditsSize(),
            command.getAuthor());
    StoredAnswer answer = new StoredAnswer(command.getChangeId(), digest, version);
    return new ConfigTable(
        next, answers.with(answer), log.with(new ChangeMessage(version, command.getEdits()), line));
  }

  private static CommandAnswer repeatedAnswer(StoredAnswer earlier, String digest) {
    if (!earlier.getRequestDigest().equals(digest)) {
      return CommandAnswers.failure(ResultCode.CHANGE_ID_REUSED);
    }
    return earlier.isSetFailure()
        ? CommandAnswer.failure(earlier.getFailure())
        : applied(earlier.getVersion(), true);
  }

  private static CommandAnswer applied(long version, boolean resent) {
    return CommandAnswer.applied(new ApplyResult(version, resent));
  }

  private static String digest(ApplyCommand command) {
    if (command.isSetContentDigest()) {
      return command.getContentDigest();
    }
    ApplyCommand content = new ApplyCommand(command);
    content.unsetAuthor();
    return ThriftCodec.digest(content);
  }

  /**
   * Returns this table with the policy of a snapshot.
   *
   * @throws IllegalStateException if the entities do not form a valid policy
   */
  ConfigTable withRestored(long version, List<EntityEdit> entities) {
    if (version == 0) {
      return this;
    }
    ConfigChange snapshot = new ConfigChange(new ConfigVersion(version), entities);
    Policy restored =
        Policy.empty()
            .apply(snapshot)
            .getOrElseThrow(failure -> new IllegalStateException(failure.detail()));
    return new ConfigTable(restored, answers, log);
  }
}
