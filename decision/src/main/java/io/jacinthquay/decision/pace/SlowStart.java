package io.jacinthquay.decision.pace;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Limits what all routers together send to upstreams that are new or have come back.
 *
 * <p>Handles an empty upstream that looks cheapest to all routers at once, one that comes back slow
 * or fails again, and one that flaps. An upstream that has proved itself has no window, and costs
 * nothing here. Not thread-safe, except for {@link #figures}.
 */
public final class SlowStart {
  /**
   * The upstreams of a pool that are in slow start.
   *
   * @param upstreams how many
   * @param window sum of their windows, in requests
   */
  public record Figures(int upstreams, double window) {
    /** No upstream. */
    public static final Figures NONE = new Figures(0, 0);
  }

  private final RandomGenerator random;
  private final SlowStartListener listener;
  private final Map<UpstreamId, UpstreamWindow> windows = new HashMap<>();
  private volatile Map<PoolName, Figures> figures = Map.of();
  private long updatedNanos;
  private boolean current;

  /** Returns an instance in which all upstreams count as proved. */
  public SlowStart(RandomGenerator random, SlowStartListener listener) {
    this.random = random;
    this.listener = listener;
  }

  /**
   * Begins the slow start of an upstream, anew if it was in slow start.
   *
   * @param seen what all routers have seen of it so far, which no longer counts
   */
  public void begin(
      UpstreamId upstream, PoolName pool, StartReason reason, UpstreamEvidence seen, long now) {
    UpstreamWindow window = windows.get(upstream);
    if (window != null) {
      window.restart(seen, now);
    } else {
      windows.put(upstream, new UpstreamWindow(pool, seen, random.nextDouble(), now));
      listener.started(upstream, pool, reason);
    }
    current &= reason != StartReason.LISTED;
  }

  /** Returns whether an upstream has a window that is in force. */
  public boolean isLimited(UpstreamId upstream) {
    UpstreamWindow window = windows.get(upstream);
    return window != null && window.isLimited();
  }

  /** Ends the slow start of upstreams that are no longer listed. */
  public void retain(Set<UpstreamId> listed, long now) {
    for (UpstreamId upstream : List.copyOf(windows.keySet())) {
      if (!listed.contains(upstream)) {
        end(upstream, false, now);
      }
    }
  }

  private void end(UpstreamId upstream, boolean proved, long now) {
    UpstreamWindow ended = windows.remove(upstream);
    listener.ended(upstream, ended.pool(), proved, ended.window(), ended.elapsedNanos(now));
  }

  /**
   * Updates the windows if that is due.
   *
   * @param usable the upstreams that may get requests; evaluated only if an update is due
   */
  public void update(Supplier<List<PacedUpstream>> usable, Peers peers, long now) {
    if (!isDue(peers.count(), now)) {
      return;
    }
    current = true;
    updatedNanos = now;
    Map<PoolName, List<PacedUpstream>> byPool = new HashMap<>();
    for (PacedUpstream upstream : usable.get()) {
      byPool.computeIfAbsent(upstream.pool(), name -> new ArrayList<>()).add(upstream);
    }
    Map<PoolName, Figures> sums = new HashMap<>();
    byPool.forEach((pool, upstreams) -> sums.put(pool, update(upstreams, peers, now)));
    figures = Map.copyOf(sums);
  }

  private boolean isDue(int routers, long now) {
    return !current || now - updatedNanos >= RouterShare.intervalNanos(routers);
  }

  private Figures update(List<PacedUpstream> pool, Peers peers, long now) {
    PoolUsage usage = PoolUsage.of(pool, windows.keySet());
    int starting = 0;
    double sum = 0;
    for (PacedUpstream upstream : pool) {
      UpstreamWindow window = windows.get(upstream.upstream());
      if (window == null && usage.isOutlier(upstream.evidence())) {
        begin(upstream.upstream(), upstream.pool(), StartReason.MISSED, upstream.evidence(), now);
      } else if (window != null) {
        window.update(upstream, usage, peers, random.nextDouble(), now);
        if (window.isProved(now)) {
          end(upstream.upstream(), true, now);
        } else {
          starting++;
          sum += window.window();
        }
      }
    }
    return new Figures(starting, sum);
  }

  /**
   * Returns whether this router may send a request to an upstream within its window.
   *
   * @param own requests of this router that the upstream runs
   */
  public boolean allows(UpstreamId upstream, int own) {
    UpstreamWindow window = windows.get(upstream);
    return window == null || window.allows(own);
  }

  /**
   * Returns whether recent answers to any router show that an upstream works. It may then exceed
   * its window while no other upstream has a free slot, since requests must not wait while slots
   * are free.
   */
  public boolean isAnsweringWell(UpstreamId upstream) {
    UpstreamWindow window = windows.get(upstream);
    return window == null || window.hasProof();
  }

  /** Returns the upstreams in slow start by pool, as of the last update; thread-safe. */
  public Map<PoolName, Figures> figures() {
    return figures;
  }
}
