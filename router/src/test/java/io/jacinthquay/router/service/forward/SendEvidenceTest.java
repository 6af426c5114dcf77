package io.jacinthquay.router.service.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamSelector;
import io.jacinthquay.decision.learning.RateUse;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.EngineSpec;
import io.jacinthquay.model.routing.PoolSpec;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class SendEvidenceTest {
  private static final PoolName POOL = new PoolName("p");
  private static final DomainId DOMAIN = new DomainId("a");
  private static final UpstreamId ENGINE = new UpstreamId("u0");
  private static final long MILLI = 1_000_000L;

  private final UpstreamSelector selector =
      new UpstreamSelector(DOMAIN, 1, 0, new SplittableRandom(1), RateUse.OBSERVE);
  private final RateLearning learning = new RateLearning(selector, new ForwardMetrics());

  SendEvidenceTest() {
    Optional<EngineSpec> engine = Optional.of(new EngineSpec(64, 500_000, 6, 0));
    selector.setPools(
        Map.of(POOL, new PoolSpec(POOL, "/health", 10, 0, 0, engine, Optional.empty())));
    InetSocketAddress address = InetSocketAddress.createUnresolved("10.0.0.1", 80);
    selector.setListings(
        List.of(
            new UpstreamListing(
                ENGINE, POOL, DOMAIN, address, false, false, 64, 0, SoftwareVersion.UNSPECIFIED)),
        0);
  }

  private SendEvidence send() {
    List<PromptPart> parts = List.of(new PromptPart(1, 3_800));
    PoolRequest work =
        new PoolRequest(
            POOL, new Tier(0), 3_800, 100, parts, 300, 150, 0, 9_000 * MILLI, Optional.empty());
    SentRequest sending = selector.sent(selector.choose(work, Set.of(), 0).orElseThrow(), work, 0);
    return learning.evidence(sending, false).orElseThrow();
  }

  private UpstreamEvidence reported(long now) {
    return learning.reported(now).getOrDefault(ENGINE, UpstreamEvidence.NONE);
  }

  /** Guards against a router that reports nothing, or a failure as a fast response. */
  @Test
  void reportSpeedOfResponsesOnly() {
    send().recordMiss(0);
    assertEquals(new UpstreamEvidence(0, 0, 0, 0, 0, 1), reported(0));
    SendEvidence answered = send();
    answered.recordBegin(106 * MILLI);
    answered.recordSuccess(106 * MILLI);
    UpstreamEvidence evidence = reported(106 * MILLI);
    assertTrue(evidence.readTokens() > 0 && evidence.onTarget() == 1, evidence::toString);
  }

  /** Guards against a client that reads slowly and makes its engine look slow. */
  @Test
  void ignoreGapWhileCallerDoesNotRead() {
    SendEvidence answered = send();
    answered.recordBegin(106 * MILLI);
    answered.recordPause();
    answered.recordEvents(1, 2_000 * MILLI);
    assertEquals(0, reported(2_000 * MILLI).emittedTokens());
    answered.recordEvents(1, 2_150 * MILLI);
    assertTrue(reported(2_150 * MILLI).emittedTokens() > 0);
  }
}
