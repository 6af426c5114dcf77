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

  /** Whether some routers came from a former owner whose work must be bounded. */
  private boolean bounded;

  private long settleAfterNanos = Long.MIN_VALUE;

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
    if (session.told) {
      return;
    }
    session.told = true;
    session.hadFormerOwner = vouchFreeNanos >= 0;
    session.vouchFreeAtNanos = nowNanos + (vouchFreeNanos < 0 ? lapseNanos() : vouchFreeNanos);
  }

  /** Takes in that a session ended. */
  void lost(long nowNanos, VmId router) {
    silentSince.replace(router, nowNanos);
  }

  /** Takes in that sessions, voters or time have changed. */
  void update(long nowNanos) {
    complete = !voters().isEmpty() && voters().stream().allMatch(this::inSession);
    if (complete) {
      table.dropOrphans(sessions.values());
    }
    released.keySet().removeAll(sessions.keySet());
    settleAfterNanos = Long.MIN_VALUE;
    bounded = false;
    for (Session session : sessions.values()) {
      settle(nowNanos, session);
      if (!session.settled) {
        settleAfterNanos = Math.max(settleAfterNanos, session.vouchFreeAtNanos);
        bounded = true;
      }
    }
    for (UpstreamSlots upstream : table.upstreams()) {
      recount(nowNanos, upstream);
    }
    table.reindex();
  }

  /** Settles a session once nothing of its former owner can be unknown. */
  private void settle(long nowNanos, Session session) {
    long wait = session.hadFormerOwner ? options.orphanNanos() : 0;
    boolean waited = session.told && nowNanos >= session.vouchFreeAtNanos + wait;
    if (!session.settled && (complete || waited)) {
      session.settled = true;
      table.disinherit(session);
    }
  }

  private boolean inSession(VmId voter) {
    Session session = sessions.get(voter);
    return session != null && session.confirmed();
  }

  private long lapseNanos() {
    return options.lapseNanos();
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
    Set<UpstreamId> free = released.computeIfAbsent(voter, key -> new HashSet<>());
    if (upstream.evidence.leastNow() > 0) {
      free.remove(upstream.id);
    } else if (upstream.evidence.mostSince(since + lapseNanos()) == 0) {
      free.add(upstream.id);
    }
  }

  /** Sets the share of an upstream; the caller keeps the sums of the table. */
  void recount(long nowNanos, UpstreamSlots upstream) {
    int limit = upstream.bearing.limit();
    if (complete) {
      upstream.foreign(0);
      upstream.share(limit);
      return;
    }
    int most = bounded ? mostForeign(nowNanos, upstream) : 0;
    if (most >= 0) {
      upstream.foreign(most);
      upstream.share(all(nowNanos, upstream));
      return;
    }
    int settled = shares.share(upstream.id, limit, v -> countsSettled(nowNanos, v, upstream));
    int inherited = Math.min(limit, settled + upstream.inherited);
    upstream.foreign(0);
    upstream.share(
        nowNanos < settleAfterNanos ? inherited : Math.min(inherited, all(nowNanos, upstream)));
  }

  private int all(long nowNanos, UpstreamSlots upstream) {
    int limit = upstream.bearing.limit();
    return shares.share(upstream.id, limit, v -> counts(nowNanos, v, upstream));
  }

  /** Returns a bound of the work that former owners granted beyond their share, or -1. */
  private int mostForeign(long nowNanos, UpstreamSlots upstream) {
    if (nowNanos < settleAfterNanos) {
      return -1;
    }
    if (!upstream.reportsLoad) {
      return 0;
    }
    int most = upstream.evidence.mostSince(settleAfterNanos);
    return most < 0 ? -1 : Math.max(0, most - upstream.orphans.size());
  }

  private boolean countsSettled(long nowNanos, VmId voter, UpstreamSlots upstream) {
    Session session = sessions.get(voter);
    return (session == null || session.settled) && counts(nowNanos, voter, upstream);
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
