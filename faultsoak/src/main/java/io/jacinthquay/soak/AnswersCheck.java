package io.jacinthquay.soak;

/** A success is the whole answer to its own request; what broke off is a part of it. */
final class AnswersCheck implements Check {
  @Override
  public String promise() {
    return "each success is the whole answer to its own request";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    for (Call call : history.calls()) {
      if (call.isSuccess()) {
        verdict.judge(call.body().equals(whole(call)), describe(call, "is not its whole answer"));
      } else if (call.status() == 200) {
        verdict.judge(whole(call).startsWith(call.body()), describe(call, "is not part of it"));
      }
    }
    history.strays().forEach(stray -> verdict.judge(false, stray));
    return verdict;
  }

  private static String whole(Call call) {
    return call.kind().isStream()
        ? Expected.eventsUpTo(call.id(), Expected.events(call.id()))
        : Expected.body(call.id());
  }

  private static String describe(Call call, String what) {
    int shown = Math.min(60, call.body().length());
    String begin = call.body().substring(0, shown).replace("\n", "\\n");
    return call.id().value()
        + " ("
        + call.kind()
        + ") got "
        + call.body().length()
        + " characters, which "
        + what
        + ": "
        + begin;
  }
}
