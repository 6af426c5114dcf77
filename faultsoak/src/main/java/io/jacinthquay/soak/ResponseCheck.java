package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.Map;

/**
 * Checks that a successful response is complete and belongs to its request, that a truncated one is
 * a prefix of it, and that any other has a status of the protocol.
 */
final class ResponseCheck implements Check {
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;

  @Override
  public String guarantee() {
    return "each success is the whole answer to its own request";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<RequestId, List<String>> spoilt = history.spoiltAnswers();
    for (Call call : history.calls()) {
      if (call.isSuccess()) {
        verdict.judge(isWhole(call), describe(call, "is not its whole answer", spoilt));
      } else if (call.status() == 200) {
        verdict.judge(isPart(call), describe(call, "is not part of it", spoilt));
      } else if (call.ending() == Call.Ending.ANSWERED) {
        verdict.judge(
            call.status() >= MIN_FINAL_STATUS && call.status() <= MAX_STATUS,
            describe(call, "has the status " + call.status() + ", which is none", spoilt));
      }
    }
    history.unexpected().forEach(unexpected -> verdict.judge(false, unexpected));
    return verdict;
  }

  private static boolean isWhole(Call call) {
    if (!call.kind().isStream()) {
      return call.body().equals(ExpectedResponse.body(call.id()));
    }
    StreamText text = StreamText.parse(call.body());
    return text.rest().isEmpty()
        && text.isInOrder(call.stream(), call.firstEvent())
        && call.firstEvent() + text.events().size() - 1
            == ExpectedResponse.eventCount(call.stream());
  }

  private static boolean isPart(Call call) {
    if (!call.kind().isStream()) {
      return ExpectedResponse.body(call.id()).startsWith(call.body());
    }
    StreamText text = StreamText.parse(call.body());
    int next = call.firstEvent() + text.events().size();
    return text.isInOrder(call.stream(), call.firstEvent())
        && (text.rest().isEmpty()
            || next <= ExpectedResponse.eventCount(call.stream())
                && text.restMayBegin(call.stream(), next));
  }

  private static String describe(
      Call call, String description, Map<RequestId, List<String>> spoilt) {
    int excerptLength = Math.min(60, call.body().length());
    String excerpt = call.body().substring(0, excerptLength).replace("\n", "\\n");
    return call.id().value()
        + " ("
        + call.kind()
        + ") got "
        + call.body().length()
        + " characters, which "
        + description
        + (spoilt.containsKey(call.id()) ? " (spoilt: " + spoilt.get(call.id()) + ")" : "")
        + ": "
        + excerpt;
  }
}
