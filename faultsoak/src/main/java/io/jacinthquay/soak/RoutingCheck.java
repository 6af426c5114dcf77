package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Map;
import java.util.Set;

/** Requests run where, and only if, a document in force lets them, and are not turned away. */
final class RoutingCheck implements Check {
  private static final Set<Integer> DENIALS = Set.of(401, 403, 404);

  @Override
  public String promise() {
    return "routers follow the document in force";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    InForce documents = new InForce(history);
    Touch touch = new Touch(history);
    Map<RequestId, Call> calls = history.callsById();
    for (Run run : history.runs()) {
      Call call = calls.get(run.id());
      if (call != null) {
        judge(call, run, documents, touch, verdict);
      }
    }
    for (Call call : calls.values()) {
      if (call.ending() == Call.Ending.ANSWERED && DENIALS.contains(call.status())) {
        Documents.Customer customer = Documents.Customer.of(call.id());
        boolean sound =
            documents.any(call.sentNanos(), call.endNanos(), version -> !customer.isIn(version));
        verdict.judgeOr(
            sound,
            touch.isOut(call.router(), call.sentNanos(), call.endNanos()),
            call.id().value() + " of " + customer.label() + " got " + call.status());
      }
    }
    return verdict;
  }

  private static void judge(Call call, Run run, InForce documents, Touch touch, Verdict verdict) {
    Documents.Customer customer = Documents.Customer.of(run.id());
    String service = Documents.serviceOf(run.upstream());
    boolean sound =
        documents.any(
            call.sentNanos(),
            run.beganNanos(),
            version ->
                customer.isIn(version) && Documents.service(run.kind(), version).equals(service));
    boolean never = customer == Documents.Customer.UNKNOWN;
    verdict.judgeOr(
        sound,
        !never && touch.isOut(call.router(), call.sentNanos(), run.beganNanos()),
        run.id().value()
            + " of "
            + customer.label()
            + " ran on "
            + service
            + " by router "
            + call.router()
            + " where version "
            + documents.least(call.sentNanos())
            + " was to be followed");
  }
}
