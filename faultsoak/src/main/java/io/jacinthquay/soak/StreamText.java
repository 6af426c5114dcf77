package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The part of a stream that one answer brought.
 *
 * @param events the whole events, in the order of their arrival
 * @param rest what follows the last whole event
 */
record StreamText(List<StreamEvent> events, String rest) {
  private static final Pattern EVENT =
      Pattern.compile("id: (\\d{1,6})\ndata: (\\S+)-\\1 (\\S+) (\\S+) (\\S+)\n\n");

  StreamText {
    events = List.copyOf(events);
  }

  /** Parses the body of an answer. */
  static StreamText parse(String body) {
    List<StreamEvent> events = new ArrayList<>();
    Matcher matcher = EVENT.matcher(body);
    int end = 0;
    while (matcher.region(end, body.length()).lookingAt()) {
      events.add(
          new StreamEvent(
              new RequestId(matcher.group(2)),
              Integer.parseInt(matcher.group(1)),
              matcher.group(3),
              matcher.group(4),
              matcher.group(5)));
      end = matcher.end();
    }
    return new StreamText(events, body.substring(end));
  }

  /** Returns whether what follows the whole events can be the beginning of a certain event. */
  boolean restMayBegin(RequestId stream, int number) {
    Matcher matcher =
        Pattern.compile(
                "id: "
                    + number
                    + "\ndata: "
                    + Pattern.quote(stream.value() + "-" + number)
                    + " \\S+ \\S+ \\S+\n\n")
            .matcher(rest);
    return !matcher.matches() && matcher.hitEnd();
  }

  /**
   * Returns whether the events are those of a stream, from one number on and without a gap.
   *
   * @param first number of the first event
   */
  boolean isInOrder(RequestId stream, int first) {
    int expected = first;
    for (StreamEvent event : events) {
      if (event.number() != expected || !event.stream().equals(stream)) {
        return false;
      }
      expected++;
    }
    return expected - 1 <= ExpectedResponse.eventCount(stream);
  }
}
