package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Map;
import java.util.Set;

/**
 * Checks that requests run only where a document in force routes them, only for customers that it
 * names, and that routers don't deny requests of these customers.
 */
final class RoutingCheck implements Check {
  /** HTTP statuses for a missing or unknown key, a forbidden request and an unknown route. */
  private static final Set<Integer> DENIED_STATUSES = Set.of(401, 403, 404);

  @Override
  public String guarantee() {
    return "routers follow the document in force";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    VersionsInForce documents = new VersionsInForce(history);
    ContactLoss contactLoss = new ContactLoss(history);
    Map<RequestId, Call> calls = history.callsById();
    for (Run run : history.runs()) {
      Call call = calls.get(run.id());
      if (call != null) {
        judge(call, run, documents, contactLoss, verdict);
      }
    }
    for (Call call : calls.values()) {
      if (call.ending() == Call.Ending.ANSWERED && DENIED_STATUSES.contains(call.status())) {
        Documents.Customer customer = Documents.Customer.of(call.id());
        boolean allowed =
            documents.anyAllowed(
                call.sentNanos(), call.endNanos(), version -> !customer.isIn(version));
        verdict.judgeUnlessExplained(
            allowed,
            contactLoss.isPossible(call.router(), call.sentNanos(), call.endNanos()),
            call.id().value() + " of " + customer.label() + " got " + call.status());
      }
    }
    return verdict;
  }

  private static void judge(
      Call call, Run run, VersionsInForce documents, ContactLoss contactLoss, Verdict verdict) {
    Documents.Customer customer = Documents.Customer.of(run.id());
    String service = Documents.serviceOf(run.upstream());
    boolean allowed =
        documents.anyAllowed(
            call.sentNanos(),
            run.beganNanos(),
            version ->
                customer.isIn(version)
                    && Documents.routedService(run.kind(), version).equals(service));
    boolean alwaysUnknown = customer == Documents.Customer.UNKNOWN;
    verdict.judgeUnlessExplained(
        allowed,
        !alwaysUnknown && contactLoss.isPossible(call.router(), call.sentNanos(), run.beganNanos()),
        run.id().value()
            + " of "
            + customer.label()
            + " ran on "
            + service
            + " by router "
            + call.router()
            + " where version "
            + documents.oldestAllowed(call.sentNanos())
            + " was to be followed");
  }
}
