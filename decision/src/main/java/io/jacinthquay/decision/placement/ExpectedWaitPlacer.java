package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.slots.RendezvousHash;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Chooses the upstream with the shortest expected wait from a few compared candidates.
 *
 * <p>It compares some random candidates, those that hold the longest cached prefix, and the one
 * that rendezvous hashing assigns to the prompt's leading blocks. The local failure domain is
 * preferred unless another one is expected to answer sooner by a margin.
 */
final class ExpectedWaitPlacer implements Placer {
  /** Number of leading prompt blocks that determine its rendezvous hash. */
  private static final int AFFINITY_BLOCKS = 4;

  /**
   * Share of the affinity blocks' compute time that is deducted from the cost of the affine
   * upstream, 0 to 1.
   */
  private static final double AFFINITY_SHARE = 0.5;

  /**
   * Cost added to ejected upstreams and those above their ramp-up share, in nanoseconds. It exceeds
   * any real cost, so that they rank last.
   */
  private static final double LAST_RESORT_NANOS = 1e15;

  private final UpstreamTable table;
  private final PoolModel model;
  private final int[] cachedBlocks = new int[PlacementSettings.MAX_CANDIDATES];
  private final int[] ranked = new int[PlacementSettings.MAX_CANDIDATES];
  private final double[] costs = new double[PlacementSettings.MAX_CANDIDATES];

  ExpectedWaitPlacer(UpstreamTable table) {
    this.table = table;
    this.model = table.model();
  }

  @Override
  public List<Placement> rank(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      int limit,
      long nowNanos,
      SplittableRandom random) {
    table.refresh(nowNanos);
    int sampleSize = Math.max(limit, table.settings().choices());
    long eligible = eligibleCandidates(request, nowNanos, false);
    Search search = new Search(request, usable, eligible, nowNanos);
    search.sample(eligible, sampleSize, random);
    if (search.count < limit) {
      search.penaltyNanos = LAST_RESORT_NANOS;
      search.sample(
          eligibleCandidates(request, nowNanos, true) & ~eligible, limit - search.count, random);
    }
    return search.best(limit);
  }

  /**
   * Returns the candidates that may receive the request, one bit per slot.
   *
   * @param all whether to include ejected upstreams and those above their ramp-up share
   */
  private long eligibleCandidates(PlacementRequest request, long now, boolean all) {
    long eligible = 0;
    UpstreamState[] candidates = table.candidates();
    for (int slot = 0; slot < candidates.length; slot++) {
      UpstreamState u = candidates[slot];
      if (u != null && (all || isEligible(u, now)) && !request.excluded().contains(u.info.id())) {
        eligible |= 1L << slot;
      }
    }
    return eligible;
  }

  private boolean isEligible(UpstreamState u, long now) {
    if (u.ejected) {
      return u.isProbing(now) && u.inFlight == 0;
    }
    return !model.isAboveRampShare(u, now);
  }

  /**
   * Fills {@link #cachedBlocks} and returns the candidates with the longest cached prefix, one bit
   * per slot.
   */
  private long longestHolders(PromptPrefix prefix, long eligible) {
    Arrays.fill(cachedBlocks, 0);
    long holding = eligible;
    for (int block = 0; block < prefix.blocks(); block++) {
      long stillHolding = holding & table.index().holders(prefix.hash(block));
      for (long lost = holding & ~stillHolding; lost != 0; lost &= lost - 1) {
        cachedBlocks[Long.numberOfTrailingZeros(lost)] = block;
      }
      if (stillHolding == 0) {
        return block == 0 ? 0 : holding;
      }
      holding = stillHolding;
    }
    for (long remaining = holding; remaining != 0; remaining &= remaining - 1) {
      cachedBlocks[Long.numberOfTrailingZeros(remaining)] = prefix.blocks();
    }
    return prefix.blocks() == 0 ? 0 : holding;
  }

  private int affineSlot(PromptPrefix prefix, long eligible) {
    if (prefix.blocks() == 0) {
      return -1;
    }
    long key = prefix.hash(Math.min(prefix.blocks(), AFFINITY_BLOCKS) - 1);
    int best = -1;
    long bestRank = Long.MIN_VALUE;
    for (long remaining = eligible; remaining != 0; remaining &= remaining - 1) {
      int slot = Long.numberOfTrailingZeros(remaining);
      long rank = RendezvousHash.mix(key ^ table.candidates()[slot].hash);
      if (best < 0 || rank > bestRank) {
        best = slot;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Returns the position of a set bit, chosen uniformly at random. */
  private static int randomBit(long bits, SplittableRandom random) {
    int skip = random.nextInt(Long.bitCount(bits));
    long remaining = bits;
    for (int i = 0; i < skip; i++) {
      remaining &= remaining - 1;
    }
    return Long.numberOfTrailingZeros(remaining);
  }

  /** The comparison of upstreams for one request. */
  private final class Search {
    private final PlacementRequest request;
    private final Predicate<UpstreamId> usable;
    private final long holders;
    private final int affine;
    private final long now;
    private int count;
    private double penaltyNanos;

    Search(PlacementRequest request, Predicate<UpstreamId> usable, long eligible, long now) {
      this.now = now;
      this.request = request;
      this.usable = usable;
      this.holders = longestHolders(request.prefix(), eligible);
      this.affine = affineSlot(request.prefix(), eligible);
    }

    /**
     * Compares some random candidates, and those with a cached prefix of the prompt or affinity to
     * it.
     */
    void sample(long candidates, int sampleSize, SplittableRandom random) {
      long unsampled = candidates;
      int usableSampled = 0;
      while (unsampled != 0 && usableSampled < sampleSize) {
        int slot = randomBit(unsampled, random);
        unsampled &= ~(1L << slot);
        usableSampled += consider(slot) ? 1 : 0;
      }
      long preferred = unsampled & (holders | (affine < 0 ? 0 : 1L << affine));
      for (long remaining = preferred; remaining != 0; remaining &= remaining - 1) {
        consider(Long.numberOfTrailingZeros(remaining));
      }
    }

    /** Adds a candidate to the ranking if it is usable, and returns whether it is. */
    private boolean consider(int slot) {
      UpstreamState u = table.candidates()[slot];
      if (!usable.test(u.info.id())) {
        return false;
      }
      insert(slot, penaltyNanos + cost(u, slot));
      return true;
    }

    /** Inserts a candidate into the ranking, which is sorted by ascending cost. */
    private void insert(int slot, double cost) {
      int position = count++;
      while (position > 0 && costs[position - 1] > cost) {
        costs[position] = costs[position - 1];
        ranked[position] = ranked[position - 1];
        position--;
      }
      costs[position] = cost;
      ranked[position] = slot;
    }

    private double cost(UpstreamState u, int slot) {
      double cost = u.domainCosts.latencyNanos + model.cost(u, missTokens(u, slot));
      cost += u.domainCosts.slotWaitNanos(request.tier(), now);
      if (!table.isLocal(u)) {
        cost += table.settings().spillMarginNanos();
      }
      if (slot == affine && !model.isAboveLoadBound(u)) {
        int blocks = Math.min(request.prefix().blocks(), AFFINITY_BLOCKS);
        int tokens = blocks * request.prefix().blockTokens();
        cost -= AFFINITY_SHARE * model.promptTokenNanos() * tokens;
      }
      return cost;
    }

    private int missTokens(UpstreamState u, int slot) {
      return Math.max(0, request.promptTokens() - cachedTokens(u, slot));
    }

    private int cachedTokens(UpstreamState u, int slot) {
      return (int) (cachedBlocks[slot] * request.prefix().blockTokens() * u.hintConfidence);
    }

    List<Placement> best(int limit) {
      List<Placement> best = new ArrayList<>(Math.min(limit, count));
      for (int i = 0; i < count && i < limit; i++) {
        UpstreamState u = table.candidates()[ranked[i]];
        long wait = Math.max(0, (long) (costs[i] % LAST_RESORT_NANOS));
        int cached = cachedTokens(u, u.slot);
        best.add(new Placement(u.info.id(), u.domain(), wait, cached, table.isLocal(u)));
      }
      return best;
    }
  }
}
