package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.StoredAnswer;
import io.vavr.collection.LinkedHashMap;
import java.util.Optional;

/**
 * Answers to the most recent change ids, so that a resent change gets the same answer.
 *
 * @param byId answers by change id, oldest first
 */
record ChangeAnswers(LinkedHashMap<String, StoredAnswer> byId) {
  /** Maximum number of change ids; the oldest are evicted first. */
  static final int MAX_CHANGE_IDS = 20_000;

  static final ChangeAnswers EMPTY = new ChangeAnswers(LinkedHashMap.empty());

  Optional<StoredAnswer> find(String changeId) {
    return byId.get(changeId).toJavaOptional();
  }

  ChangeAnswers with(StoredAnswer answer) {
    LinkedHashMap<String, StoredAnswer> next = byId.put(answer.getChangeId(), answer);
    return new ChangeAnswers(next.size() > MAX_CHANGE_IDS ? next.tail() : next);
  }
}
