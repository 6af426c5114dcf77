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
  private long firstSessionNanos = Long.MAX_VALUE / 2;
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

  /** Takes in that a session ended. */
  void lost(long nowNanos, VmId router) {
    silentSince.replace(router, nowNanos);
  }

  /** Takes in that sessions, voters or time have changed. */
  void update(long nowNanos) {
    complete = !voters().isEmpty() && sessions.keySet().containsAll(voters());
    settled |= complete;
    released.keySet().removeAll(sessions.keySet());
    if (firstSessionNanos == Long.MAX_VALUE / 2 && !sessions.isEmpty()) {
      firstSessionNanos = nowNanos;
    }
    settleAfterNanos = settleAfter();
    for (UpstreamSlots upstream : table.upstreams()) {
      recount(nowNanos, upstream);
    }
    table.reindex();
  }

  private long settleAfter() {
    long after = firstSessionNanos + lapseNanos();
    boolean former = false;
    for (Session session : sessions.values()) {
      former |= session.vouchFreeAtNanos > Long.MIN_VALUE;
      after = Math.max(after, session.vouchFreeAtNanos);
    }
    hadFormerOwner |= former;
    return after;
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
    upstream.foreign(settled ? 0 : foreign(nowNanos, upstream, limit));
    upstream.share(
        complete ? limit : shares.share(upstream.id, limit, v -> counts(nowNanos, v, upstream)));
  }

  private int foreign(long nowNanos, UpstreamSlots upstream, int limit) {
    if (nowNanos < settleAfterNanos) {
      return limit;
    }
    if (!upstream.reportsLoad || !hadFormerOwner) {
      return 0;
    }
    int strangers = upstream.strangersSince(settleAfterNanos);
    if (strangers >= 0) {
      return Math.max(0, strangers - upstream.orphans.size());
    }
    boolean waitedOut = nowNanos - options.orphanNanos() >= settleAfterNanos;
    return waitedOut ? 0 : limit;
  }

  private boolean counts(long nowNanos, VmId voter, UpstreamSlots upstream) {
    Session session = sessions.get(voter);
    if (session != null) {
      return nowNanos >= session.vouchFreeAtNanos;
    }
    if (released.getOrDefault(voter, Set.of()).contains(upstream.id)) {
      return true;
    }
    long since = silentSince.getOrDefault(voter, nowNanos);
    return !upstream.reportsLoad && nowNanos >= since + options.silentReleaseNanos();
  }
}
