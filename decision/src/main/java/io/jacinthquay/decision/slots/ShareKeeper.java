package io.jacinthquay.decision.slots;

import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps what an owner may grant of each upstream while some routers are not in session with it.
 *
 * <p>Once all routers have been in session, everything that runs is known. Until then the load that
 * upstreams report, measured after every former owner's leases have lapsed, bounds what is not.
 */
final class ShareKeeper {
  private final SlotOptions options;
  private final SlotTable table;
  private final Map<VmId, Session> sessions;
  private final Shares shares = new Shares();
  private final Map<VmId, Long> silentSince = new HashMap<>();
  private final Map<VmId, Set<UpstreamId>> released = new HashMap<>();
  private boolean complete;
  private boolean settled;
  private boolean hadFormerOwner;
  private long settleAfterNanos = Long.MAX_VALUE;

  ShareKeeper(SlotOptions options, SlotTable table, Map<VmId, Session> sessions) {
    this.options = options;
    this.table = table;
    this.sessions = sessions;
  }

  List<VmId> voters() {
    return shares.voters();
  }

  void voters(long nowNanos, List<VmId> voters) {
    shares.voters(voters);
    silentSince.keySet().retainAll(voters);
    released.keySet().retainAll(voters);
    for (VmId voter : voters) {
      silentSince.putIfAbsent(voter, nowNanos);
    }
    update(nowNanos);
  }

  /**
   * Takes in what a router in session told of its former owner.
   *
   * <p>A router that has just started has none, but its earlier start may have had one.
   */
  void joined(long nowNanos, Session session, long vouchFreeNanos) {
    if (vouchFreeNanos < 0) {
      session.vouchFreeAtNanos = Math.max(session.vouchFreeAtNanos, nowNanos + lapseNanos());
      return;
    }
    hadFormerOwner = true;
    if (vouchFreeNanos > 0) {
      session.vouchFreeAtNanos = Math.max(session.vouchFreeAtNanos, nowNanos + vouchFreeNanos);
      settled = false;
      sessions.values().stream()
          .filter(other -> other.vouchFreeAtNanos <= nowNanos)
          .forEach(table::disinherit);
    }
  }

  /** Takes in that a session ended. */
  void lost(long nowNanos, VmId router) {
    silentSince.replace(router, nowNanos);
  }

  /** Takes in that sessions, voters or time have changed. */
  void update(long nowNanos) {
    complete = !voters().isEmpty() && voters().stream().allMatch(this::inSession);
    if (complete) {
      settled = true;
      sessions.values().forEach(table::disinherit);
    }
    released.keySet().removeAll(sessions.keySet());
    settleAfterNanos = settleAfter();
    for (UpstreamSlots upstream : table.upstreams()) {
      recount(nowNanos, upstream);
    }
    table.reindex();
  }

  private long settleAfter() {
    long after = Long.MIN_VALUE;
    for (Session session : sessions.values()) {
      after = Math.max(after, session.vouchFreeAtNanos);
    }
    return after;
  }

  private boolean inSession(VmId voter) {
    Session session = sessions.get(voter);
    return session != null && session.confirmed();
  }

  private long lapseNanos() {
    return options.leaseNanos() + options.marginNanos();
  }

  /** Takes in that a load report of an upstream came. */
  void reported(long nowNanos, UpstreamSlots upstream) {
    if (!complete) {
      for (VmId voter : voters()) {
        if (!sessions.containsKey(voter)) {
          updateReleased(nowNanos, voter, upstream);
        }
      }
    }
    table.change(upstream, () -> recount(nowNanos, upstream));
  }

  private void updateReleased(long nowNanos, VmId voter, UpstreamSlots upstream) {
    long since = silentSince.getOrDefault(voter, nowNanos);
    if (nowNanos < since + options.silentReleaseNanos()) {
      return;
    }
    int strangers = upstream.strangersSince(since + lapseNanos());
    Set<UpstreamId> free = released.computeIfAbsent(voter, key -> new HashSet<>());
    if (strangers == 0) {
      free.add(upstream.id);
    } else if (upstream.strangersSeenTwice()) {
      free.remove(upstream.id);
    }
  }

  /** Sets the share of an upstream; the caller keeps the sums of the table. */
  void recount(long nowNanos, UpstreamSlots upstream) {
    int limit = upstream.bearing.limit();
    if (complete || limit == 0) {
      upstream.foreign(0);
      upstream.share(limit);
      return;
    }
    if (!settled && nowNanos < settleAfterNanos) {
      upstream.foreign(0);
      upstream.share(upstream.inherited);
      return;
    }
    upstream.foreign(settled ? 0 : foreign(nowNanos, upstream, limit));
    upstream.share(shares.share(upstream.id, limit, v -> counts(nowNanos, v, upstream)));
  }

  /** Returns the work of a former owner beyond the shares of the routers in session here. */
  private int foreign(long nowNanos, UpstreamSlots upstream, int limit) {
    boolean waitedOut = nowNanos - options.orphanNanos() >= settleAfterNanos;
    if (!upstream.reportsLoad || !hadFormerOwner || waitedOut) {
      return 0;
    }
    int strangers = upstream.latestStrangersSince(settleAfterNanos);
    int most = limit - upstream.inherited;
    return strangers < 0 ? most : Math.min(most, Math.max(0, strangers - upstream.orphans.size()));
  }

  private boolean counts(long nowNanos, VmId voter, UpstreamSlots upstream) {
    Session session = sessions.get(voter);
    if (session != null) {
      return session.confirmed() && nowNanos >= session.vouchFreeAtNanos;
    }
    if (released.getOrDefault(voter, Set.of()).contains(upstream.id)) {
      return true;
    }
    long since = silentSince.getOrDefault(voter, nowNanos);
    return !upstream.reportsLoad && nowNanos >= since + options.silentReleaseNanos();
  }
}
