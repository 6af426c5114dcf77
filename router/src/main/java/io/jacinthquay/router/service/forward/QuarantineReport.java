package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.quarantine.BrokenSend;
import io.jacinthquay.decision.quarantine.PartId;
import java.util.List;
import java.util.Map;

/**
 * A router's evidence about parts of prompts that may crash upstreams.
 *
 * @param brokenSends age in milliseconds of sends that broke before their answer was under way
 * @param establishedParts age in milliseconds of answers that were under way on suspect or
 *     quarantined parts
 * @param rejectedParts quarantined parts with which requests were rejected since the last report
 */
public record QuarantineReport(
    Map<BrokenSend, Long> brokenSends,
    Map<PartId, Long> establishedParts,
    List<PartId> rejectedParts) {
  /** Copies the collections. */
  public QuarantineReport {
    brokenSends = Map.copyOf(brokenSends);
    establishedParts = Map.copyOf(establishedParts);
    rejectedParts = List.copyOf(rejectedParts);
  }
}
