package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.Arrays;
import java.util.Optional;
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

  private final UpstreamTable table;
  private final PoolModel model;
  private final int[] cachedBlocks = new int[PlacementSettings.MAX_CANDIDATES];

  ExpectedWaitPlacer(UpstreamTable table) {
    this.table = table;
    this.model = table.model();
  }

  @Override
  public Optional<Placement> place(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      long nowNanos,
      SplittableRandom random) {
    table.refresh(nowNanos);
    long open = open(request, nowNanos, false);
    Optional<Placement> choice = choose(request, usable, open, random);
    if (choice.isPresent()) {
      return choice;
    }
    return choose(request, usable, open(request, nowNanos, true) & ~open, random);
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

  private Optional<Placement> choose(
      PlacementRequest request, Predicate<UpstreamId> usable, long open, SplittableRandom random) {
    if (open == 0) {
      return Optional.empty();
    }
    long holders = longestHolders(request.prefix(), open);
    int affine = affineSlot(request.prefix(), open);
    Search search = new Search(request, affine);
    long rest = open;
    int drawn = 0;
    while (rest != 0 && drawn < table.settings().choices()) {
      int slot = randomBit(rest, random);
      rest &= ~(1L << slot);
      drawn += search.consider(slot, usable) ? 1 : 0;
    }
    long suggested = rest & (holders | (affine < 0 ? 0 : 1L << affine));
    for (long left = suggested; left != 0; left &= left - 1) {
      search.consider(Long.numberOfTrailingZeros(left), usable);
    }
    return search.result();
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
      long rank = Hashing.rank(key, table.candidates()[slot].hash);
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

  /** The best choices so far. */
  private final class Search {
    private final PlacementRequest request;
    private final int affine;
    private UpstreamState bestLocal;
    private UpstreamState bestRemote;
    private double localCost = Double.MAX_VALUE;
    private double remoteCost = Double.MAX_VALUE;

    Search(PlacementRequest request, int affine) {
      this.request = request;
      this.affine = affine;
    }

    /** Returns whether the upstream could be used. */
    boolean consider(int slot, Predicate<UpstreamId> usable) {
      UpstreamState u = table.candidates()[slot];
      if (!usable.test(u.info.id())) {
        return false;
      }
      double cost = cost(u, slot);
      if (table.isLocal(u)) {
        if (cost < localCost) {
          localCost = cost;
          bestLocal = u;
        }
      } else if (cost < remoteCost) {
        remoteCost = cost;
        bestRemote = u;
      }
      return true;
    }

    private double cost(UpstreamState u, int slot) {
      double cost = table.latencyNanos(u) + model.cost(u, missTokens(u, slot));
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

    Optional<Placement> result() {
      boolean spill = remoteCost + table.settings().spillMarginNanos() < localCost;
      UpstreamState chosen = bestLocal == null || spill ? bestRemote : bestLocal;
      if (chosen == null) {
        return Optional.empty();
      }
      long wait = (long) (chosen == bestLocal ? localCost : remoteCost);
      int cached = cachedTokens(chosen, chosen.slot);
      return Optional.of(
          new Placement(chosen.info.id(), Math.max(0, wait), cached, chosen == bestLocal));
    }
  }
}
