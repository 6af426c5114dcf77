package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.model.UpstreamId;
import java.util.List;

/** Whether one request may be sent in spite of the quarantine of prompt parts. */
final class PromptTrial {
  private final PromptQuarantine quarantine;
  private final List<PromptPart> sharedParts;
  private boolean acquired;

  PromptTrial(PromptQuarantine quarantine, List<PromptPart> sharedParts) {
    this.quarantine = quarantine;
    this.sharedParts = sharedParts;
  }

  /** Returns whether the request must not be sent; takes a trial of its part if there is one. */
  boolean rejectsSend(long now) {
    if (!quarantine.rejects(sharedParts)) {
      return false;
    }
    if (!acquired && quarantine.tryAcquireTrial(sharedParts, now)) {
      acquired = true;
      return false;
    }
    return true;
  }

  /** Returns whether a request that is queued or sent has to end. */
  boolean endsRequest() {
    return !acquired && quarantine.rejects(sharedParts);
  }

  /** Returns whether the prompt of a send that broke might crash another upstream too. */
  boolean mayCrashBeside(UpstreamId upstream) {
    return quarantine.isSuspectBeside(upstream, sharedParts);
  }
}
