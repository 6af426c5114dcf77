package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The other members of the local failure domain. */
final class MemberTable {
  /** One other member. */
  static final class Entry {
    Member member;
    long changedAt;
    boolean suspectedLocally;
    boolean markedLeaving;
    LoadUpdate load;
    long loadReceivedAt;

    private Entry(Member member, long now) {
      this.member = member;
      this.changedAt = now;
    }

    /** Returns whether the member is alive or suspected. */
    boolean isResponsive() {
      return member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT;
    }

    boolean isLeaving() {
      return markedLeaving || member.leaving();
    }

    long loadAgeMillis(long now) {
      return load.ageMillis() + (now - loadReceivedAt) / GossipNode.NANOS_PER_MILLI;
    }

    MemberView view(long now) {
      long age = load == null ? Long.MAX_VALUE : loadAgeMillis(now);
      return new MemberView(
          member, isLeaving(), Optional.ofNullable(load).map(LoadUpdate::load), age);
    }
  }

  private final TreeMap<VmId, Entry> entries = new TreeMap<>();

  Entry find(VmId id) {
    return entries.get(id);
  }

  Collection<Entry> all() {
    return entries.values();
  }

  List<Entry> responsive() {
    List<Entry> responsive = new ArrayList<>(entries.size());
    for (Entry entry : entries.values()) {
      if (entry.isResponsive()) {
        responsive.add(entry);
      }
    }
    return responsive;
  }

  /** Applies a report, and returns whether it changed anything. */
  boolean merge(Member report, long now) {
    Entry entry = entries.get(report.id());
    if (entry == null) {
      boolean alive = report.state().compareTo(MemberState.SUSPECT) <= 0;
      if (alive) {
        entries.put(report.id(), new Entry(report, now));
      }
      return alive;
    }
    if (!report.replaces(entry.member)) {
      return false;
    }
    entry.member = report;
    entry.changedAt = now;
    entry.suspectedLocally = false;
    return true;
  }

  /** Applies a load update, and returns whether it changed anything. */
  boolean merge(LoadUpdate update, long now) {
    Entry entry = entries.get(update.id());
    if (entry == null || !update.replaces(entry.load)) {
      return false;
    }
    entry.load = update;
    entry.loadReceivedAt = now;
    return true;
  }

  /** Returns a report that the member is dead for each suspicion that was not refuted in time. */
  List<Member> expiredSuspicions(long now, long suspicionNanos) {
    List<Member> expired = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean suspect = entry.member.state() == MemberState.SUSPECT;
      if (suspect && now - entry.changedAt >= suspicionNanos) {
        expired.add(entry.member.withState(MemberState.DEAD));
      }
    }
    return expired;
  }

  /** Extends the deadline of every suspicion after this process was paused. */
  void extendSuspicions(long nanos) {
    for (Entry entry : entries.values()) {
      entry.changedAt += entry.member.state() == MemberState.SUSPECT ? nanos : 0;
    }
  }

  /** Removes members that have been dead or left for at least the given time. */
  void removeExpired(long now, long forgetNanos) {
    entries.values().removeIf(e -> !e.isResponsive() && now - e.changedAt >= forgetNanos);
  }

  /** Removes a member if it is dead or has left. */
  void removeIfUnresponsive(VmId id) {
    Entry entry = entries.get(id);
    if (entry != null && !entry.isResponsive()) {
      entries.remove(id);
    }
  }
}
