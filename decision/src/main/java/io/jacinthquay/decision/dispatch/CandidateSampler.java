package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Samples the few upstreams that are compared for one request.
 *
 * <p>Many routers that act on the same stale load data would all send to the same least loaded
 * upstream. Comparing two random choices spreads requests nearly as well as current data would.
 */
final class CandidateSampler {
  /** Upstreams sampled from the local failure domain; two choices already spread load well. */
  private static final int LOCAL_COUNT = 2;

  /** Upstreams sampled from other failure domains, for when local ones are busier. */
  private static final int REMOTE_COUNT = 1;

  private final DomainId local;
  private final RandomGenerator random;

  CandidateSampler(DomainId local, RandomGenerator random) {
    this.local = local;
    this.random = random;
  }

  /** Returns the upstreams to compare, in a mutable list. */
  List<UpstreamState> sample(List<UpstreamState> all) {
    List<UpstreamState> nearby = new ArrayList<>();
    List<UpstreamState> remote = new ArrayList<>();
    for (UpstreamState state : all) {
      (state.listing().domain().equals(local) ? nearby : remote).add(state);
    }
    List<UpstreamState> sampled = new ArrayList<>();
    draw(nearby, LOCAL_COUNT, sampled);
    draw(remote, nearby.isEmpty() ? LOCAL_COUNT : REMOTE_COUNT, sampled);
    return sampled;
  }

  /**
   * Returns some of the upstreams, in a mutable list.
   *
   * @param count most upstreams to return
   * @param weight how likely an upstream is drawn compared with others, above 0
   */
  List<UpstreamState> sample(
      List<UpstreamState> all, int count, ToDoubleFunction<UpstreamState> weight) {
    List<UpstreamState> sampled = new ArrayList<>();
    double[] weights = all.stream().mapToDouble(weight).toArray();
    for (int drawn = Math.min(count, weights.length); drawn > 0; drawn--) {
      int index = drawIndex(weights);
      weights[index] = 0;
      sampled.add(all.get(index));
    }
    return sampled;
  }

  private int drawIndex(double[] weights) {
    double left = random.nextDouble() * Arrays.stream(weights).sum();
    int last = 0;
    for (int i = 0; i < weights.length; i++) {
      if (weights[i] > 0) {
        last = i;
        left -= weights[i];
        if (left < 0) {
          return i;
        }
      }
    }
    return last;
  }

  private void draw(List<UpstreamState> pool, int count, List<UpstreamState> sampled) {
    for (int i = 0; i < count && !pool.isEmpty(); i++) {
      sampled.add(pool.remove(random.nextInt(pool.size())));
    }
  }
}
