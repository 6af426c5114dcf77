package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.slots.ClassPolicies;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.VmId;
import java.util.List;
import java.util.Map;

/**
 * Admits requests on one router, and grants slots to the routers of its failure domain for the
 * scopes it owns.
 *
 * <p>A pure state machine: each call processes one event and returns the resulting actions, in
 * order. It starts no threads and does no I/O; calls must not overlap. Times come from one
 * monotonic clock and never decrease.
 *
 * <pre>{@code
 * Admission admission = Admission.builder(self, incarnation, classes).build();
 * run(admission.setView(now, domain, DomainView.alone(self)));
 * run(admission.setUpstreams(now, scope, List.of(UpstreamSpec.unstated(engine))));
 * run(admission.submit(now, request)); // a Dispatch or a Refuse, now or later
 * run(admission.finish(later, request.request(), Completion.done(tokens, firstToken, true)));
 * }</pre>
 */
public interface Admission {
  /**
   * Returns a builder.
   *
   * @param incarnation a number that grows with every start of the router, such as the wall clock
   *     in milliseconds; 0 to 2^46
   * @param classes the classes of the configuration in force
   */
  static AdmissionBuilder builder(VmId self, long incarnation, ClassPolicies classes) {
    return new AdmissionBuilder(self, incarnation, classes);
  }

  /** Submits a request, which is answered by one Dispatch or one Refuse, now or later. */
  List<AdmissionAction> submit(long nowNanos, AdmissionRequest request);

  /**
   * Reports the tokens that a running request has used; call it occasionally, not for every token.
   *
   * @param tokens input and output tokens so far
   * @param expected input and output tokens now expected in total
   */
  List<AdmissionAction> reportProgress(
      long nowNanos, RequestId request, long tokens, long expected);

  /** Reports that a dispatched request has ended; unknown requests are ignored. */
  List<AdmissionAction> finish(long nowNanos, RequestId request, Completion completion);

  /**
   * Reports that a preempted request was stopped at its upstream.
   *
   * <p>The request waits again and is dispatched once more, to continue from the tokens delivered.
   *
   * @param tokens input and output tokens used
   * @param remaining tokens still expected, including the input that must be processed again
   */
  List<AdmissionAction> reportPreempted(
      long nowNanos, RequestId request, long tokens, long remaining);

  /** Withdraws a waiting request whose caller has disconnected; other requests are ignored. */
  List<AdmissionAction> cancel(long nowNanos, RequestId request);

  /** Processes a message from another router. */
  List<AdmissionAction> receive(long nowNanos, SlotMessage message);

  /** Reports the load of an upstream; required on the router that owns the scope. */
  List<AdmissionAction> reportLoad(long nowNanos, SlotScope scope, LoadReport report);

  /** Sets the routers of a failure domain. */
  List<AdmissionAction> setView(long nowNanos, DomainId domain, DomainView view);

  /** Sets the upstreams of a scope that may get work; a missing one gets no new work. */
  List<AdmissionAction> setUpstreams(long nowNanos, SlotScope scope, List<UpstreamSpec> upstreams);

  /** Runs the work that is due; call it at {@link #nextTickNanos} or every few milliseconds. */
  List<AdmissionAction> tick(long nowNanos);

  /**
   * Returns when {@link #tick} is next due; {@code Long.MAX_VALUE} for never and {@code
   * Long.MIN_VALUE} for immediately. Compare the value; a subtraction may overflow.
   */
  long nextTickNanos();

  /** Ends all sessions and drops all unused slots, so that other routers take over at once. */
  List<AdmissionAction> leave(long nowNanos);

  /** Returns the current state of every scope for operators. */
  Map<SlotScope, ScopeStatus> status(long nowNanos);
}
