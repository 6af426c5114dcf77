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
        verdict.judge(
            call.body().equals(expectedBody(call)), describe(call, "is not its whole answer"));
      } else if (call.status() == 200) {
        verdict.judge(
            expectedBody(call).startsWith(call.body()), describe(call, "is not part of it"));
      }
    }
    history.unexpected().forEach(unexpected -> verdict.judge(false, unexpected));
    return verdict;
  }

  private static String expectedBody(Call call) {
    return call.kind().isStream()
        ? ExpectedResponse.eventsUpTo(call.id(), ExpectedResponse.eventCount(call.id()))
        : ExpectedResponse.body(call.id());
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
