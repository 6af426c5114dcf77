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
 * Admits requests on one router, and owns slots for the routers of its failure domain.
 *
 * <p>A pure state machine: each call takes one event and returns what to do, in order. It holds no
 * thread and does no I/O; calls must not overlap. Times come from one monotonic clock and never go
 * back.
 *
 * <pre>{@code
 * Admission admission = Admission.builder(self, incarnation, classes).build();
 * run(admission.view(now, domain, DomainView.alone(self)));
 * run(admission.upstreams(now, scope, List.of(UpstreamSpec.unstated(engine))));
 * run(admission.submit(now, request)); // a Dispatch now or later, or a Refuse
 * run(admission.finish(later, request.request(), Completion.done(tokens, firstToken, true)));
 * }</pre>
 */
public interface Admission {
  /**
   * Returns a builder.
   *
   * @param incarnation grows with every start of the router, such as the wall clock in
   *     milliseconds; 0 to 2^46
   * @param classes the classes of the configuration in force
   */
  static AdmissionBuilder builder(VmId self, long incarnation, ClassPolicies classes) {
    return new AdmissionBuilder(self, incarnation, classes);
  }

  /** Takes in a new request; it is answered by one Dispatch or one Refuse, now or later. */
  List<AdmissionAction> submit(long nowNanos, AdmissionRequest request);

  /**
   * Takes in what a running request has spent; call it now and then, not for every token.
   *
   * @param tokens input and output tokens so far
   * @param expected input and output tokens now expected in all
   */
  List<AdmissionAction> progress(long nowNanos, RequestId request, long tokens, long expected);

  /** Takes in that a dispatched request ended; unknown requests are ignored. */
  List<AdmissionAction> finish(long nowNanos, RequestId request, Completion completion);

  /**
   * Takes in that a preempted request was stopped at its upstream.
   *
   * <p>The request waits again and is dispatched once more, to continue from the tokens delivered.
   *
   * @param tokens input and output tokens that were spent
   * @param remaining tokens still expected, input to be read again included
   */
  List<AdmissionAction> preempted(long nowNanos, RequestId request, long tokens, long remaining);

  /** Takes in that the caller of a waiting request went away; others are ignored. */
  List<AdmissionAction> cancel(long nowNanos, RequestId request);

  /** Takes in a message of another router. */
  List<AdmissionAction> receive(long nowNanos, SlotMessage message);

  /** Takes in a load report; needed on the router that owns the scope. */
  List<AdmissionAction> load(long nowNanos, SlotScope scope, LoadReport report);

  /** Takes in which routers a failure domain has. */
  List<AdmissionAction> view(long nowNanos, DomainId domain, DomainView view);

  /** Takes in which upstreams of a scope may get work; one that is missing gets no more. */
  List<AdmissionAction> upstreams(long nowNanos, SlotScope scope, List<UpstreamSpec> upstreams);

  /** Does what is due; call it at {@link #nextTickNanos} or every few milliseconds. */
  List<AdmissionAction> tick(long nowNanos);

  /**
   * Returns when {@link #tick} has something to do; {@code Long.MAX_VALUE} for never and {@code
   * Long.MIN_VALUE} for at once, so that it must be compared and not subtracted.
   */
  long nextTickNanos();

  /** Gives up every unused slot and session, so that other routers take over at once. */
  List<AdmissionAction> leave(long nowNanos);

  /** Returns the state of every scope for operators. */
  Map<SlotScope, ScopeStatus> status(long nowNanos);
}
