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

/** Reads the configuration in force from the keepers. */
final class PolicyFetch {
  private static final String NO_READER = "";

  private PolicyFetch() {}

  static Either<Failure, Policy> fetch(Context context) {
    Policy policy = Policy.empty();
    while (true) {
      Policy known = policy;
      FeedPosition position =
          new FeedPosition(NO_READER, NO_READER, known.version().value(), Map.of());
      Either<Failure, ConfigPage> page = context.keepers().call(k -> k.changes(position, 0));
      Either<Failure, Policy> next = page.flatMap(p -> advance(known, p));
      if (next.isLeft() || next.get().version().value() >= page.get().getNewest()) {
        return next;
      }
      policy = next.get();
    }
  }

  private static Either<Failure, Policy> advance(Policy known, ConfigPage page) {
    Either<Failure, Policy> next = Either.right(page.isSnapshot() ? Policy.empty() : known);
    for (ChangeMessage message : page.getChanges()) {
      Either<Failure, ConfigChange> change = ConfigMessages.fromMessage(message);
      next = next.flatMap(policy -> change.flatMap(policy::apply));
    }
    return next;
  }
}
