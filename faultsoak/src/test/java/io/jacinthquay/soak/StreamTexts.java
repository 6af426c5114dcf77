package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Texts of streams for tests. */
final class StreamTexts {
  private StreamTexts() {}

  /** Returns an event of {@link #eventsUpTo}. */
  static String event(RequestId stream, int number) {
    return new StreamEvent(stream, number, "service-0", "v1", "v1/1").text();
  }

  /** Returns the events of one run from the first to the one with a number. */
  static String eventsUpTo(RequestId stream, int last) {
    return events(stream, 1, last, "service-0", "v1");
  }

  /** Returns some events of a run, whose name follows from the version and the first event. */
  static String events(RequestId stream, int first, int last, String service, String version) {
    return IntStream.rangeClosed(first, last)
        .mapToObj(
            number -> new StreamEvent(stream, number, service, version, version + "/" + first))
        .map(StreamEvent::text)
        .collect(Collectors.joining());
  }
}
