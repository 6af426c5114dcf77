package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.wire.gen.RouterSignalsMessage;
import io.jacinthquay.wire.gen.UpstreamEvidenceMessage;
import io.jacinthquay.wire.gen.WaitingWorkMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts the signals that routers exchange. */
public final class SignalMessages {
  private SignalMessages() {}

  /** Returns the message for signals. */
  public static RouterSignalsMessage toMessage(RouterSignals signals) {
    List<UpstreamEvidenceMessage> evidence = new ArrayList<>();
    signals.evidence().forEach((id, sums) -> evidence.add(toMessage(id, sums)));
    List<WaitingWorkMessage> waiting = new ArrayList<>();
    signals
        .waiting()
        .forEach(
            (key, work) ->
                waiting.add(
                    new WaitingWorkMessage(
                        key.pool().value(),
                        key.tier().value(),
                        work.requests(),
                        work.promptTokens())));
    Map<String, Double> served = new HashMap<>();
    signals.servedTokens().forEach((customer, tokens) -> served.put(customer.value(), tokens));
    return new RouterSignalsMessage(evidence, waiting, served);
  }

  private static UpstreamEvidenceMessage toMessage(UpstreamId upstream, UpstreamEvidence sums) {
    return new UpstreamEvidenceMessage(
        upstream.value(),
        sums.readTokens(),
        sums.readMillis(),
        sums.emittedTokens(),
        sums.emitMillis(),
        sums.onTarget(),
        sums.missed());
  }

  /** Returns the signals that a message carries. */
  public static RouterSignals toSignals(RouterSignalsMessage message) {
    Map<UpstreamId, UpstreamEvidence> evidence = new HashMap<>();
    for (UpstreamEvidenceMessage sums : message.getEvidence()) {
      evidence.put(
          new UpstreamId(sums.getUpstream()),
          new UpstreamEvidence(
              sums.getReadTokens(),
              sums.getReadMillis(),
              sums.getEmittedTokens(),
              sums.getEmitMillis(),
              sums.getOnTarget(),
              sums.getMissed()));
    }
    Map<WaitingWork.Key, WaitingWork> waiting = new HashMap<>();
    for (WaitingWorkMessage work : message.getWaiting()) {
      waiting.put(
          new WaitingWork.Key(new PoolName(work.getPool()), new Tier(work.getTier())),
          new WaitingWork(work.getRequests(), work.getPromptTokens()));
    }
    Map<CustomerId, Double> served = new HashMap<>();
    message
        .getServedTokens()
        .forEach((customer, tokens) -> served.put(new CustomerId(customer), tokens));
    return new RouterSignals(evidence, waiting, served);
  }
}
