package io.jacinthquay.decision.slots;

import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Calculates how many slots of each upstream an owner may grant while some routers are not in
 * session with it.
 *
 * <p>Once all routers are in session, all running work is known. Until then the unknown work is
 * bounded by the load that upstreams report, measured after the leases of all former owners have
 * expired.
 */
final class ShareCalculator {
  private final SlotOptions options;
  private final SlotTable table;
  private final Map<VmId, Session> sessions;
  private final Shares shares = new Shares();

  /** When each member without a session was last in session or became a member. */
  private final Map<VmId, Long> unreachableSince = new HashMap<>();

  /** Upstreams on which the shares of unreachable members may be used. */
  private final Map<VmId, Set<UpstreamId>> released = new HashMap<>();

  /** Whether all members are in session. */
  private boolean allInSession;

  /** Whether sessions remain whose former owner may have granted work unknown here. */
  private boolean unreconciled;

  private long reconcileAfterNanos = Long.MIN_VALUE;

  ShareCalculator(SlotOptions options, SlotTable table, Map<VmId, Session> sessions) {
    this.options = options;
    this.table = table;
    this.sessions = sessions;
  }

  List<VmId> members() {
    return shares.members();
  }

  void setMembers(long nowNanos, List<VmId> members) {
    shares.setMembers(members);
    unreachableSince.keySet().retainAll(members);
    released.keySet().retainAll(members);
    for (VmId member : members) {
      unreachableSince.putIfAbsent(member, nowNanos);
    }
    update(nowNanos);
  }

  /**
   * Records how long the lease of a former owner of a router may still last.
   *
   * <p>A router that has just started has no former owner, but its previous incarnation may have
   * had one.
   *
   * @param formerLeaseNanos remaining time of the former lease; negative if there was none
   */
  void sessionOpened(long nowNanos, Session session, long formerLeaseNanos) {
    if (session.formerOwnerKnown) {
      return;
    }
    session.formerOwnerKnown = true;
    session.hadFormerOwner = formerLeaseNanos >= 0;
    session.formerLeaseEndNanos =
        nowNanos + (formerLeaseNanos < 0 ? expiryNanos() : formerLeaseNanos);
  }

  /** Records the end of a session. */
  void sessionEnded(long nowNanos, VmId router) {
    unreachableSince.replace(router, nowNanos);
  }

  /** Recalculates all shares after a change of sessions, members or time. */
  void update(long nowNanos) {
    allInSession = !members().isEmpty() && members().stream().allMatch(this::inSession);
    if (allInSession) {
      table.dropOrphans(sessions.values());
    }
    released.keySet().removeAll(sessions.keySet());
    reconcileAfterNanos = Long.MIN_VALUE;
    unreconciled = false;
    for (Session session : sessions.values()) {
      reconcile(nowNanos, session);
      if (!session.reconciled) {
        reconcileAfterNanos = Math.max(reconcileAfterNanos, session.formerLeaseEndNanos);
        unreconciled = true;
      }
    }
    for (UpstreamSlots upstream : table.upstreams()) {
      recount(nowNanos, upstream);
    }
    table.reindex();
  }

  /** Marks a session as reconciled once all work granted by its former owner is known. */
  private void reconcile(long nowNanos, Session session) {
    long waitNanos = session.hadFormerOwner ? options.orphanNanos() : 0;
    boolean waited =
        session.formerOwnerKnown && nowNanos >= session.formerLeaseEndNanos + waitNanos;
    if (!session.reconciled && (allInSession || waited)) {
      session.reconciled = true;
      table.clearInherited(session);
    }
  }

  private boolean inSession(VmId member) {
    Session session = sessions.get(member);
    return session != null && session.confirmed();
  }

  private long expiryNanos() {
    return options.expiryNanos();
  }

  /** Recalculates the share of an upstream after a load report. */
  void loadReported(long nowNanos, UpstreamSlots upstream) {
    if (!allInSession) {
      for (VmId member : members()) {
        if (!sessions.containsKey(member)) {
          updateReleased(nowNanos, member, upstream);
        }
      }
    }
    table.change(upstream, () -> recount(nowNanos, upstream));
  }

  private void updateReleased(long nowNanos, VmId member, UpstreamSlots upstream) {
    long since = unreachableSince.getOrDefault(member, nowNanos);
    if (nowNanos < since + options.unreachableReleaseNanos()) {
      return;
    }
    Set<UpstreamId> releasedUpstreams = released.computeIfAbsent(member, key -> new HashSet<>());
    if (upstream.unknownLoad.latestLowerBound() > 0) {
      releasedUpstreams.remove(upstream.id);
    } else if (upstream.unknownLoad.upperBoundSince(since + expiryNanos()) == 0) {
      releasedUpstreams.add(upstream.id);
    }
  }

  /** Sets the share of an upstream; the caller must update the totals of the table. */
  void recount(long nowNanos, UpstreamSlots upstream) {
    int limit = upstream.limiter.limit();
    if (allInSession) {
      upstream.setUnaccounted(0);
      upstream.setShare(limit);
      return;
    }
    int bound = unreconciled ? unaccountedBound(nowNanos, upstream) : 0;
    if (bound >= 0) {
      upstream.setUnaccounted(bound);
      upstream.setShare(countedShare(nowNanos, upstream));
      return;
    }
    int reconciled =
        shares.share(upstream.id, limit, member -> countsReconciled(nowNanos, member, upstream));
    int inherited = Math.min(limit, reconciled + upstream.inherited);
    upstream.setUnaccounted(0);
    upstream.setShare(
        nowNanos < reconcileAfterNanos
            ? inherited
            : Math.min(inherited, countedShare(nowNanos, upstream)));
  }

  private int countedShare(long nowNanos, UpstreamSlots upstream) {
    int limit = upstream.limiter.limit();
    return shares.share(upstream.id, limit, member -> counts(nowNanos, member, upstream));
  }

  /**
   * Returns an upper bound of the work that former owners granted and that is unknown here, or -1
   * if no bound is known yet.
   */
  private int unaccountedBound(long nowNanos, UpstreamSlots upstream) {
    if (nowNanos < reconcileAfterNanos) {
      return -1;
    }
    if (!upstream.reportsLoad) {
      return 0;
    }
    int bound = upstream.unknownLoad.upperBoundSince(reconcileAfterNanos);
    return bound < 0 ? -1 : Math.max(0, bound - upstream.orphans.size());
  }

  private boolean countsReconciled(long nowNanos, VmId member, UpstreamSlots upstream) {
    Session session = sessions.get(member);
    return (session == null || session.reconciled) && counts(nowNanos, member, upstream);
  }

  private boolean counts(long nowNanos, VmId member, UpstreamSlots upstream) {
    Session session = sessions.get(member);
    if (session != null) {
      return session.confirmed() && nowNanos >= session.formerLeaseEndNanos;
    }
    if (released.getOrDefault(member, Set.of()).contains(upstream.id)) {
      return true;
    }
    long since = unreachableSince.getOrDefault(member, nowNanos);
    return !upstream.reportsLoad && nowNanos >= since + options.unreachableReleaseNanos();
  }
}
