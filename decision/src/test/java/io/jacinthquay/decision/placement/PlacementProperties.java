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

/** Random histories of events against a plain set of the upstreams that may get work. */
class PlacementProperties {
  private static final long MILLISECOND = 1_000_000L;
  private static final List<DomainId> DOMAINS =
      List.of(new DomainId("a"), new DomainId("b"), new DomainId("c"));

  /** What is true of the upstreams, kept apart from the table. */
  private static final class Truth {
    private final Map<UpstreamId, DomainId> present = new HashMap<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private final Set<DomainId> out = new HashSet<>();

    boolean mayGetWork(UpstreamId id) {
      return present.containsKey(id) && !leaving.contains(id) && !out.contains(present.get(id));
    }

    long open() {
      return present.keySet().stream().filter(this::mayGetWork).count();
    }
  }

  @Property(seed = "401", tries = 60)
  void leavingAndOutGetNothingAndOthersAreFound(
      @ForAll @IntRange(min = 1, max = 1_000_000) int seed,
      @ForAll @IntRange(min = 1, max = 90) int upstreams) {
    SplittableRandom random = new SplittableRandom(seed);
    UpstreamTable table =
        UpstreamTable.create(DOMAINS.get(0), "router", PlacementSettings.defaults());
    Placer placer = Placers.expectedWait(table);
    Truth truth = new Truth();
    List<Dispatch> running = new ArrayList<>();
    long now = random.nextLong(-5, 5);
    for (int step = 0; step < 600; step++) {
      now += random.nextLong(200 * MILLISECOND);
      UpstreamId id = new UpstreamId("u" + random.nextInt(upstreams));
      change(table, truth, id, random, now);
      PlacementRequest request = request(random);
      Set<UpstreamId> unusable = Set.of(new UpstreamId("u" + random.nextInt(upstreams)));
      List<Placement> ranked =
          placer.rank(request, u -> !unusable.contains(u), 1 + random.nextInt(4), now, random);
      for (Placement placement : ranked) {
        UpstreamId chosen = placement.upstream();
        assertTrue(truth.mayGetWork(chosen), chosen + " must get nothing");
        assertTrue(!unusable.contains(chosen) && !request.excluded().contains(chosen));
        assertEquals(truth.present.get(chosen), placement.domain());
      }
      assertEquals(ranked.size(), ranked.stream().map(Placement::upstream).distinct().count());
      if (truth.open() > 2 && truth.open() <= PlacementSettings.MAX_CANDIDATES) {
        assertTrue(!ranked.isEmpty(), "an upstream is open and none was found");
      }
      if (!ranked.isEmpty()) {
        running.add(table.dispatched(ranked.get(0).upstream(), request, now));
      }
      progress(table, running, random, now);
    }
    running.forEach(d -> table.ended(d, AttemptEnd.CANCELLED, 0));
    for (UpstreamView view : table.views(now)) {
      assertEquals(0, view.inFlight(), "attempts are counted twice or never");
    }
  }

  private static void change(
      UpstreamTable table, Truth truth, UpstreamId id, SplittableRandom random, long now) {
    DomainId domain = DOMAINS.get(Math.floorMod(id.hashCode(), DOMAINS.size()));
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> {
        table.add(new UpstreamInfo(id, domain), now);
        if (truth.present.put(id, domain) == null) {
          truth.leaving.remove(id);
        }
      }
      case 3 -> {
        table.remove(id);
        truth.present.remove(id);
      }
      case 4, 5 -> {
        boolean leaving = random.nextBoolean();
        table.leaving(id, leaving, now);
        if (truth.present.containsKey(id) && leaving) {
          truth.leaving.add(id);
        } else {
          truth.leaving.remove(id);
        }
      }
      default -> {
        boolean out = random.nextInt(3) == 0;
        table.domainOut(domain, out, now);
        if (out) {
          truth.out.add(domain);
        } else {
          truth.out.remove(domain);
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
      case 0 -> table.firstToken(dispatch, now);
      case 1 -> table.tokens(dispatch, 1, now);
      case 2 -> {
        table.ended(dispatch, AttemptEnd.values()[random.nextInt(4)], now);
        running.remove(dispatch);
      }
      default -> table.ended(dispatch, AttemptEnd.COMPLETED, now);
    }
  }
}
