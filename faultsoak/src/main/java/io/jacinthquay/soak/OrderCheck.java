package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Checks that all attempts at a stream together bring its events in order, each once, and from one
 * software version of a service. This holds for all routers, in touch or not. The users allow two
 * streams of two versions in a run; this check allows none.
 */
final class OrderCheck implements Check {
  /** An answer to one attempt, and the events that it brought. */
  private record Part(Call call, StreamText text) {}

  @Override
  public String guarantee() {
    return "a stream is in order, whole, and of one version";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    int continued = 0;
    int ofTwoServices = 0;
    for (Map.Entry<RequestId, List<Call>> tries : history.streams().entrySet()) {
      List<Part> parts =
          tries.getValue().stream()
              .filter(call -> call.status() == 200)
              .map(call -> new Part(call, StreamText.parse(call.body())))
              .toList();
      List<StreamEvent> events =
          parts.stream().flatMap(part -> part.text().events().stream()).toList();
      if (events.isEmpty() && parts.stream().noneMatch(part -> part.call().isSuccess())) {
        continue;
      }
      String fault = findFault(tries.getKey(), parts, events);
      verdict.judge(fault.isEmpty(), describe(tries.getKey(), fault, parts));
      continued += events.stream().map(StreamEvent::run).distinct().count() > 1 ? 1 : 0;
      ofTwoServices += events.stream().map(StreamEvent::service).distinct().count() > 1 ? 1 : 0;
    }
    verdict.remark(
        "streams of several runs: " + continued + ", of them of two services: " + ofTwoServices);
    return verdict;
  }

  /** Returns what is wrong with a stream; empty if nothing is. */
  private static String findFault(RequestId stream, List<Part> parts, List<StreamEvent> events) {
    if (!new StreamText(events, "").isInOrder(stream, 1)) {
      return "is out of order";
    }
    for (Part part : parts) {
      List<StreamEvent> brought = part.text().events();
      int last =
          brought.isEmpty()
              ? part.call().firstEvent() - 1
              : brought.get(brought.size() - 1).number();
      if (part.call().isSuccess() && last != ExpectedResponse.eventCount(stream)) {
        return "ends as complete after event " + last;
      }
    }
    Map<String, Set<String>> versions =
        events.stream()
            .collect(
                Collectors.groupingBy(
                    StreamEvent::service,
                    Collectors.mapping(
                        StreamEvent::version, Collectors.toCollection(TreeSet::new))));
    if (versions.values().stream().anyMatch(ofService -> ofService.size() > 1)) {
      return "holds events of the versions " + versions;
    }
    boolean resumable = parts.get(0).call().kind().isResumable();
    boolean joined = events.stream().map(StreamEvent::run).distinct().count() > 1;
    return joined && !resumable ? "is joined from two runs" : "";
  }

  private static String describe(RequestId stream, String fault, List<Part> parts) {
    return stream.value()
        + " "
        + fault
        + ": "
        + parts.stream().map(OrderCheck::describe).collect(Collectors.joining("; "));
  }

  /** Returns which events an attempt brought, and from which runs. */
  private static String describe(Part part) {
    StringBuilder text = new StringBuilder(part.call().id().value());
    text.append(" by router ").append(part.call().router());
    part.call()
        .takeUp()
        .ifPresent(
            takeUp ->
                text.append(" after event ")
                    .append(takeUp.afterEvent())
                    .append(" naming ")
                    .append(takeUp.named()));
    String run = "";
    for (StreamEvent event : part.text().events()) {
      if (!event.run().equals(run)) {
        run = event.run();
        text.append(", from ")
            .append(event.number())
            .append(" on ")
            .append(run)
            .append(' ')
            .append(event.version());
      }
    }
    return text.toString();
  }
}
