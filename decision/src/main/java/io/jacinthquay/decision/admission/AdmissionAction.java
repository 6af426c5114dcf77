package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;

/** What the router must do next. */
public sealed interface AdmissionAction {
  /**
   * Send a request to an upstream now.
   *
   * <p>The router ends it by {@link Admission#finish} exactly once.
   *
   * @param request the request
   * @param upstream the upstream that has a slot for it
   */
  record Dispatch(RequestId request, UpstreamId upstream) implements AdmissionAction {}

  /**
   * Refuse a request; nothing of it was sent since it was submitted.
   *
   * @param request the request
   * @param code why
   * @param retryAfterNanos when the caller may try again, 0 or more
   */
  record Refuse(RequestId request, ResultCode code, long retryAfterNanos)
      implements AdmissionAction {}

  /**
   * Cancel a running request at its upstream, then call {@link Admission#preempted}, or {@link
   * Admission#finish} if it has just ended.
   *
   * @param request the request
   */
  record Preempt(RequestId request) implements AdmissionAction {}

  /**
   * Send a message to another router.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(VmId to, SlotMessage message) implements AdmissionAction {}
}
