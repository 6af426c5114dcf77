package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.service.forward.CachedPrefix;
import io.jacinthquay.router.service.forward.ForwardReport;
import io.jacinthquay.router.service.forward.QuarantineReport;
import io.jacinthquay.wire.convert.QuarantineMessages;
import io.jacinthquay.wire.gen.EstablishedPartMessage;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import io.jacinthquay.wire.gen.PrefixReadMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import java.util.ArrayList;
import java.util.List;

/** Converts what a router reports to the control VMs and what it reads of other routers. */
final class ReportMessages {
  private ReportMessages() {}

  /** Adds what a router has seen of prompts that crash upstreams. */
  static void addEvidence(RouterReportMessage message, QuarantineReport report, long wallMillis) {
    report
        .brokenSends()
        .forEach(
            (send, ageMillis) ->
                message.addToBrokenSends(
                    QuarantineMessages.toMessage(send, wallMillis - ageMillis)));
    report
        .establishedParts()
        .forEach(
            (part, ageMillis) ->
                message.addToEstablishedParts(
                    new EstablishedPartMessage(part.value(), wallMillis - ageMillis)));
    message.setRejectedParts(QuarantineMessages.toValues(report.rejectedParts()));
  }

  static PrefixReadMessage toMessage(CachedPrefix read) {
    return new PrefixReadMessage(
        read.upstream().value(),
        new ArrayList<>(read.parts().stream().map(PromptPart::id).toList()),
        new ArrayList<>(read.parts().stream().map(PromptPart::tokens).toList()));
  }

  static CachedPrefix toPrefix(PrefixReadMessage message) {
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < message.getPartsSize() && i < message.getTokensSize(); i++) {
      parts.add(new PromptPart(message.getParts().get(i), message.getTokens().get(i)));
    }
    return new CachedPrefix(new UpstreamId(message.getUpstream()), parts);
  }

  static PoolDemandMessage toMessage(PoolName pool, ForwardReport.PoolDemand demand) {
    return new PoolDemandMessage(
        pool.value(),
        demand.requests(),
        demand.promptTokens(),
        demand.outputTokens(),
        demand.refused(),
        demand.waiting(),
        demand.late());
  }
}
