package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The attempts of a caller at one stream so far. Not thread-safe. */
final class StreamTries {
  /** Statuses after which a caller tries again: nothing has begun, or nobody knows. */
  private static final Set<Integer> RETRIED_STATUSES = Set.of(408, 421, 429, 502, 503, 504);

  private final RequestId stream;
  private Optional<RequestId> firstEventAttempt = Optional.empty();
  private int lastEvent;
  private Call last;

  StreamTries(Call first) {
    this.stream = first.id();
    this.last = first;
    add(first);
  }

  /** Adds the next attempt. */
  void add(Call call) {
    last = call;
    List<StreamEvent> events = StreamText.parse(call.body()).events();
    if (call.status() == 200 && !events.isEmpty()) {
      if (firstEventAttempt.isEmpty()) {
        firstEventAttempt = Optional.of(call.id());
      }
      lastEvent = events.get(events.size() - 1).number();
    }
  }

  /** Returns whether the connection of the last attempt ended before its answer. */
  boolean hasBrokenOff() {
    return last.ending() == Call.Ending.BROKEN;
  }

  /** Returns whether the last attempt leaves something for a further one. */
  boolean isUnfinished() {
    return hasBrokenOff()
        || last.ending() == Call.Ending.ANSWERED && RETRIED_STATUSES.contains(last.status());
  }

  RequestId stream() {
    return stream;
  }

  /** Returns the number of the last event that arrived; 0 if none did. */
  int lastEvent() {
    return lastEvent;
  }

  /** Returns the attempt that brought the first event. */
  Optional<RequestId> firstEventAttempt() {
    return firstEventAttempt;
  }

  /** Returns the id of a further attempt, which belongs to the same customer. */
  RequestId nextAttempt(int number) {
    Documents.Customer customer = Documents.Customer.of(stream);
    RequestId id = new RequestId(stream.value() + "-t" + number);
    for (int i = 1; Documents.Customer.of(id) != customer; i++) {
      id = new RequestId(stream.value() + "-t" + number + "." + i);
    }
    return id;
  }
}
