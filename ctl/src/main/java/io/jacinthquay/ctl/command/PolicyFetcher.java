package io.jacinthquay.ctl.command;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.ChangeMessage;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.FeedPosition;
import io.vavr.control.Either;
import java.util.Map;

/** Fetches the configuration in force from the keepers. */
final class PolicyFetcher {
  /** Empty reader name and domain; the keepers record no position for an unnamed reader. */
  private static final String NO_NAME = "";

  private PolicyFetcher() {}

  static Either<Failure, Policy> fetch(Context context) {
    Policy policy = Policy.empty();
    while (true) {
      Policy current = policy;
      FeedPosition position =
          new FeedPosition(NO_NAME, NO_NAME, current.version().value(), Map.of());
      Either<Failure, ConfigPage> page =
          context.keepers().call(keeper -> keeper.changes(position, 0));
      Either<Failure, Policy> next = page.flatMap(changes -> advance(current, changes));
      if (next.isLeft() || next.get().version().value() >= page.get().getNewest()) {
        return next;
      }
      policy = next.get();
    }
  }

  private static Either<Failure, Policy> advance(Policy current, ConfigPage page) {
    Either<Failure, Policy> next = Either.right(page.isSnapshot() ? Policy.empty() : current);
    for (ChangeMessage message : page.getChanges()) {
      Either<Failure, ConfigChange> change = ConfigMessages.fromMessage(message);
      next = next.flatMap(policy -> change.flatMap(policy::apply));
    }
    return next;
  }
}
