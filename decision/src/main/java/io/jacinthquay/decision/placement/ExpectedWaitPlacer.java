package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.slots.Rendezvous;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Takes the upstream with the least expected wait among a few.
 *
 * <p>Compared are some candidates drawn at random, those that hold the longest cached prefix and
 * the one that rendezvous hashing gives the prompt's leading blocks. The own failure domain is
 * preferred until another one answers sooner by a margin.
 */
final class ExpectedWaitPlacer implements Placer {
  /** Leading blocks of the prompt that decide its rendezvous hash. */
  private static final int AFFINITY_BLOCKS = 4;

  /** Share of the affinity blocks' compute time by which the affine upstream is preferred. */
  private static final double AFFINITY_SHARE = 0.5;

  /** Cost added to ejected upstreams and those above their share, so that they come last. */
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
    int draws = Math.max(limit, table.settings().choices());
    long open = open(request, nowNanos, false);
    Search search = new Search(request, usable, open, nowNanos);
    search.draw(open, draws, random);
    if (search.count < limit) {
      search.handicapNanos = LAST_RESORT_NANOS;
      search.draw(open(request, nowNanos, true) & ~open, limit - search.count, random);
    }
    return search.best(limit);
  }

  /** Returns the candidates that may get the request, as bits. */
  private long open(PlacementRequest request, long now, boolean all) {
    long open = 0;
    UpstreamState[] candidates = table.candidates();
    for (int slot = 0; slot < candidates.length; slot++) {
      UpstreamState u = candidates[slot];
      if (u != null && (all || isWelcome(u, now)) && !request.excluded().contains(u.info.id())) {
        open |= 1L << slot;
      }
    }
    return open;
  }

  private boolean isWelcome(UpstreamState u, long now) {
    if (u.ejected) {
      return u.isProbing(now) && u.inFlight == 0;
    }
    return !model.isAboveRamp(u, now);
  }

  /** Fills {@link #cachedBlocks} and returns the candidates with the longest cached prefix. */
  private long longestHolders(PromptPrefix prefix, long open) {
    Arrays.fill(cachedBlocks, 0);
    long holding = open;
    for (int block = 0; block < prefix.blocks(); block++) {
      long still = holding & table.index().holders(prefix.hash(block));
      for (long lost = holding & ~still; lost != 0; lost &= lost - 1) {
        cachedBlocks[Long.numberOfTrailingZeros(lost)] = block;
      }
      if (still == 0) {
        return block == 0 ? 0 : holding;
      }
      holding = still;
    }
    for (long left = holding; left != 0; left &= left - 1) {
      cachedBlocks[Long.numberOfTrailingZeros(left)] = prefix.blocks();
    }
    return prefix.blocks() == 0 ? 0 : holding;
  }

  private int affineSlot(PromptPrefix prefix, long open) {
    if (prefix.blocks() == 0) {
      return -1;
    }
    long key = prefix.hash(Math.min(prefix.blocks(), AFFINITY_BLOCKS) - 1);
    int best = -1;
    long bestRank = Long.MIN_VALUE;
    for (long left = open; left != 0; left &= left - 1) {
      int slot = Long.numberOfTrailingZeros(left);
      long rank = Rendezvous.mix(key ^ table.candidates()[slot].hash);
      if (best < 0 || rank > bestRank) {
        best = slot;
        bestRank = rank;
      }
    }
    return best;
  }

  /** Returns the position of a set bit, each with the same chance. */
  private static int randomBit(long bits, SplittableRandom random) {
    int skip = random.nextInt(Long.bitCount(bits));
    long left = bits;
    for (int i = 0; i < skip; i++) {
      left &= left - 1;
    }
    return Long.numberOfTrailingZeros(left);
  }

  /** The upstreams compared for one request and their costs. */
  private final class Search {
    private final PlacementRequest request;
    private final Predicate<UpstreamId> usable;
    private final long holders;
    private final int affine;
    private final long now;
    private int count;
    private double handicapNanos;

    Search(PlacementRequest request, Predicate<UpstreamId> usable, long open, long now) {
      this.now = now;
      this.request = request;
      this.usable = usable;
      this.holders = longestHolders(request.prefix(), open);
      this.affine = affineSlot(request.prefix(), open);
    }

    /** Compares some candidates drawn at random and those that the prompt suggests. */
    void draw(long from, int draws, SplittableRandom random) {
      long rest = from;
      int usableDrawn = 0;
      while (rest != 0 && usableDrawn < draws) {
        int slot = randomBit(rest, random);
        rest &= ~(1L << slot);
        usableDrawn += consider(slot) ? 1 : 0;
      }
      long suggested = rest & (holders | (affine < 0 ? 0 : 1L << affine));
      for (long left = suggested; left != 0; left &= left - 1) {
        consider(Long.numberOfTrailingZeros(left));
      }
    }

    /** Returns whether the upstream could be used. */
    private boolean consider(int slot) {
      UpstreamState u = table.candidates()[slot];
      if (!usable.test(u.info.id())) {
        return false;
      }
      insert(slot, handicapNanos + cost(u, slot));
      return true;
    }

    /** Keeps the considered candidates in the order of their costs. */
    private void insert(int slot, double cost) {
      int at = count++;
      while (at > 0 && costs[at - 1] > cost) {
        costs[at] = costs[at - 1];
        ranked[at] = ranked[at - 1];
        at--;
      }
      costs[at] = cost;
      ranked[at] = slot;
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
      return (int) (cachedBlocks[slot] * request.prefix().blockTokens() * u.hintTrust);
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
