package io.jacinthquay.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Compares placement after random events with a simple model of the upstreams that may receive
 * requests.
 */
class PlacementProperties {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final List<DomainId> DOMAINS =
      List.of(new DomainId("a"), new DomainId("b"), new DomainId("c"));

  /** The expected state of the upstreams, computed independently of the table. */
  private static final class ExpectedState {
    private final Map<UpstreamId, DomainId> present = new HashMap<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private final Set<DomainId> out = new HashSet<>();

    boolean mayReceiveRequests(UpstreamId id) {
      return present.containsKey(id) && !leaving.contains(id) && !out.contains(present.get(id));
    }

    long eligible() {
      return present.keySet().stream().filter(this::mayReceiveRequests).count();
    }
  }

  @Property(seed = "401", tries = 60)
  void leavingOrOutUpstreamsReceiveNothingAndOthersAreFound(
      @ForAll @IntRange(min = 1, max = 1_000_000) int seed,
      @ForAll @IntRange(min = 1, max = 90) int upstreams) {
    SplittableRandom random = new SplittableRandom(seed);
    UpstreamTable table =
        UpstreamTable.create(DOMAINS.get(0), "router", PlacementSettings.defaults());
    Placer placer = Placers.expectedWait(table);
    ExpectedState expected = new ExpectedState();
    List<Dispatch> running = new ArrayList<>();
    long now = random.nextLong(-5, 5);
    for (int step = 0; step < 600; step++) {
      now += random.nextLong(200 * NANOS_PER_MILLI);
      UpstreamId id = new UpstreamId("u" + random.nextInt(upstreams));
      change(table, expected, id, random, now);
      PlacementRequest request = request(random);
      Set<UpstreamId> unusable = Set.of(new UpstreamId("u" + random.nextInt(upstreams)));
      List<Placement> ranked =
          placer.rank(request, u -> !unusable.contains(u), 1 + random.nextInt(4), now, random);
      for (Placement placement : ranked) {
        UpstreamId chosen = placement.upstream();
        assertTrue(expected.mayReceiveRequests(chosen), chosen + " must not receive requests");
        assertTrue(!unusable.contains(chosen) && !request.excluded().contains(chosen));
        assertEquals(expected.present.get(chosen), placement.domain());
      }
      assertEquals(ranked.size(), ranked.stream().map(Placement::upstream).distinct().count());
      if (expected.eligible() > 2 && expected.eligible() <= PlacementSettings.MAX_CANDIDATES) {
        assertTrue(!ranked.isEmpty(), "no upstream was found although one is eligible");
      }
      if (!ranked.isEmpty()) {
        running.add(table.recordDispatch(ranked.get(0).upstream(), request, now));
      }
      progress(table, running, random, now);
    }
    running.forEach(d -> table.recordEnd(d, AttemptEnd.CANCELLED, 0));
    for (UpstreamView view : table.views(now)) {
      assertEquals(0, view.inFlight(), "attempts in flight were miscounted");
    }
  }

  private static void change(
      UpstreamTable table,
      ExpectedState expected,
      UpstreamId id,
      SplittableRandom random,
      long now) {
    DomainId domain = DOMAINS.get(Math.floorMod(id.hashCode(), DOMAINS.size()));
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> {
        table.add(new UpstreamInfo(id, domain), now);
        if (expected.present.put(id, domain) == null) {
          expected.leaving.remove(id);
        }
      }
      case 3 -> {
        table.remove(id);
        expected.present.remove(id);
      }
      case 4, 5 -> {
        boolean leaving = random.nextBoolean();
        table.setLeaving(id, leaving, now);
        if (expected.present.containsKey(id) && leaving) {
          expected.leaving.add(id);
        } else {
          expected.leaving.remove(id);
        }
      }
      default -> {
        boolean out = random.nextInt(3) == 0;
        table.setDomainOut(domain, out, now);
        if (out) {
          expected.out.add(domain);
        } else {
          expected.out.remove(domain);
        }
      }
    }
  }

  private static PlacementRequest request(SplittableRandom random) {
    long[] blocks = new long[random.nextInt(6)];
    for (int i = 0; i < blocks.length; i++) {
      blocks[i] = 1 + i + 10L * random.nextInt(3);
    }
    Set<UpstreamId> excluded =
        random.nextInt(4) == 0 ? Set.of(new UpstreamId("u" + random.nextInt(5))) : Set.of();
    return new PlacementRequest(PromptPrefix.ofHashes(blocks, 64), 500, 100, excluded);
  }

  private static void progress(
      UpstreamTable table, List<Dispatch> running, SplittableRandom random, long now) {
    if (running.isEmpty()) {
      return;
    }
    Dispatch dispatch = running.get(random.nextInt(running.size()));
    switch (random.nextInt(4)) {
      case 0 -> table.recordFirstToken(dispatch, now);
      case 1 -> table.recordTokens(dispatch, 1, now);
      case 2 -> {
        table.recordEnd(dispatch, AttemptEnd.values()[random.nextInt(4)], now);
        running.remove(dispatch);
      }
      default -> table.recordEnd(dispatch, AttemptEnd.COMPLETED, now);
    }
  }
}
