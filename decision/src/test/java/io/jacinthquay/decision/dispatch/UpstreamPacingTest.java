package io.jacinthquay.decision.dispatch;

import static io.jacinthquay.decision.dispatch.TestRequests.ENGINES;
import static io.jacinthquay.decision.dispatch.TestRequests.LOCAL;
import static io.jacinthquay.decision.dispatch.TestRequests.MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.pace.SlowStart;
import io.jacinthquay.decision.pace.SlowStartListener;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class UpstreamPacingTest {
  private final UpstreamSelector selector =
      new UpstreamSelector(LOCAL, 1, 0, new SplittableRandom(1));

  private int startingAfter(UpstreamListing changed, double coldPerSecond) {
    SlowStart slowStart = new SlowStart(new SplittableRandom(2), SlowStartListener.NONE);
    selector.paceBy(slowStart);
    selector.setPools(Map.of(ENGINES, TestRequests.engines(coldPerSecond)));
    List<UpstreamListing> listings = new ArrayList<>(TestRequests.listings(ENGINES, 4));
    selector.setListings(listings, 0);
    listings.removeIf(listing -> listing.upstream().equals(changed.upstream()));
    listings.add(changed);
    selector.setListings(listings, MILLI);
    selector.choose(TestRequests.prompt(1, 0, 7, 10, 990), Set.of(), MILLI);
    return slowStart.figures().get(ENGINES).upstreams();
  }

  /** Guards against a restarted engine that counts as proved, and against throttled old ones. */
  @Test
  void startSlowlyOnlyWhatIsNewOrStartedAgain() {
    assertEquals(0, startingAfter(TestRequests.listing("u1", ENGINES, LOCAL, 0), 0));
    assertEquals(1, startingAfter(TestRequests.listing("u1", ENGINES, LOCAL, 2_000), 0));
    assertEquals(1, startingAfter(TestRequests.listing("u9", ENGINES, LOCAL, 0), 0));
  }

  /** Guards against a window that replaces the stated rate of a cold engine instead of both. */
  @Test
  void neverExceedAStatedRate() {
    startingAfter(TestRequests.listing("u9", ENGINES, LOCAL, 60_000), 2);
    Set<UpstreamId> warm =
        TestRequests.listings(ENGINES, 4).stream()
            .map(UpstreamListing::upstream)
            .collect(Collectors.toSet());
    int sent = 0;
    for (int millis = 2; millis < 10_000; millis += 5) {
      PoolRequest work = TestRequests.prompt(1, 0, millis, 10, 990);
      Optional<UpstreamState> cold = selector.choose(work, warm, millis * MILLI);
      if (cold.isPresent()) {
        SentRequest sending = selector.sent(cold.get(), work, millis * MILLI);
        selector.recordEnd(sending, false, SendOutcome.SUCCEEDED, millis * MILLI);
        sent++;
      }
    }
    assertEquals(7, sent, 1, "0.7 of half the stated 2 a second for 10 s");
  }
}
