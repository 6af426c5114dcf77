package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;

/** An action that the router must perform. */
public sealed interface AdmissionAction {
  /**
   * Sends a request to an upstream.
   *
   * <p>The router ends it with exactly one call of {@link Admission#finish}.
   *
   * @param request the request
   * @param upstream the upstream that has a slot for it
   */
  record Dispatch(RequestId request, UpstreamId upstream) implements AdmissionAction {}

  /**
   * Refuses a request, which was not sent to any upstream since it was submitted.
   *
   * @param request the request
   * @param code the reason
   * @param retryAfterNanos delay before the caller may retry, 0 or more
   */
  record Refuse(RequestId request, ResultCode code, long retryAfterNanos)
      implements AdmissionAction {}

  /**
   * Cancels a running request at its upstream. The router then calls {@link
   * Admission#reportPreempted}, or {@link Admission#finish} if the request has just ended.
   *
   * @param request the request
   */
  record Preempt(RequestId request) implements AdmissionAction {}

  /**
   * Sends a message to another router.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(VmId to, SlotMessage message) implements AdmissionAction {}
}
