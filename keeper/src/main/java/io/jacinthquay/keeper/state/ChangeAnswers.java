package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.StoredAnswer;
import io.vavr.collection.LinkedHashMap;
import java.util.Optional;

/**
 * The answers given to the newest change ids, so that a resend hears the same one.
 *
 * @param byId the answers, oldest first
 */
record ChangeAnswers(LinkedHashMap<String, StoredAnswer> byId) {
  /** Change ids that are remembered; older ones are forgotten first. */
  static final int MOST_CHANGE_IDS = 20_000;

  static final ChangeAnswers EMPTY = new ChangeAnswers(LinkedHashMap.empty());

  Optional<StoredAnswer> find(String changeId) {
    return byId.get(changeId).toJavaOptional();
  }

  ChangeAnswers with(StoredAnswer answer) {
    LinkedHashMap<String, StoredAnswer> next = byId.put(answer.getChangeId(), answer);
    return new ChangeAnswers(next.size() > MOST_CHANGE_IDS ? next.tail() : next);
  }
}
