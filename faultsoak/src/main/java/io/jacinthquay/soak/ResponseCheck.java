package io.jacinthquay.soak;

/**
 * Checks that a successful response is complete and belongs to its request, and that a truncated
 * one is a prefix of it.
 */
final class ResponseCheck implements Check {
  @Override
  public String guarantee() {
    return "each success is the whole answer to its own request";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    for (Call call : history.calls()) {
      if (call.isSuccess()) {
        verdict.judge(isWhole(call), describe(call, "is not its whole answer"));
      } else if (call.status() == 200) {
        verdict.judge(isPart(call), describe(call, "is not part of it"));
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

  private static String describe(Call call, String description) {
    int excerptLength = Math.min(60, call.body().length());
    String excerpt = call.body().substring(0, excerptLength).replace("\n", "\\n");
    return call.id().value()
        + " ("
        + call.kind()
        + ") got "
        + call.body().length()
        + " characters, which "
        + description
        + ": "
        + excerpt;
  }
}
