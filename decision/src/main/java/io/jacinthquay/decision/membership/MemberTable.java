package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The other members of the own failure domain. */
final class MemberTable {
  /** One other member. */
  static final class Entry {
    Member member;
    long changedAt;
    boolean suspectedHere;
    boolean markedLeaving;
    LoadUpdate load;
    long loadHeardAt;

    private Entry(Member member, long now) {
      this.member = member;
      this.changedAt = now;
    }

    boolean answers() {
      return member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT;
    }

    boolean leaves() {
      return markedLeaving || member.leaving();
    }

    long loadAgeMillis(long now) {
      return load.ageMillis() + (now - loadHeardAt) / GossipNode.MILLISECOND;
    }

    MemberView view(long now) {
      long age = load == null ? Long.MAX_VALUE : loadAgeMillis(now);
      return new MemberView(member, leaves(), Optional.ofNullable(load).map(LoadUpdate::load), age);
    }
  }

  private final TreeMap<VmId, Entry> entries = new TreeMap<>();

  Entry find(VmId id) {
    return entries.get(id);
  }

  Collection<Entry> all() {
    return entries.values();
  }

  List<Entry> answering() {
    List<Entry> answering = new ArrayList<>(entries.size());
    for (Entry entry : entries.values()) {
      if (entry.answers()) {
        answering.add(entry);
      }
    }
    return answering;
  }

  /** Takes a report in. Returns whether it is news. */
  boolean merge(Member report, long now) {
    Entry entry = entries.get(report.id());
    if (entry == null) {
      boolean living = report.state().compareTo(MemberState.SUSPECT) <= 0;
      if (living) {
        entries.put(report.id(), new Entry(report, now));
      }
      return living;
    }
    if (!report.replaces(entry.member)) {
      return false;
    }
    entry.member = report;
    entry.changedAt = now;
    entry.suspectedHere = false;
    return true;
  }

  /** Takes a load in. Returns whether it is news. */
  boolean merge(LoadUpdate update, long now) {
    Entry entry = entries.get(update.id());
    if (entry == null || !update.replaces(entry.load)) {
      return false;
    }
    entry.load = update;
    entry.loadHeardAt = now;
    return true;
  }

  /** Returns the suspicions that were not refuted in time. */
  List<Member> overdue(long now, long suspicionNanos) {
    List<Member> overdue = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean suspect = entry.member.state() == MemberState.SUSPECT;
      if (suspect && now - entry.changedAt >= suspicionNanos) {
        overdue.add(entry.member.in(MemberState.DEAD));
      }
    }
    return overdue;
  }

  /** Gives every suspected member more time, after this process itself was paused. */
  void extendSuspicions(long nanos) {
    for (Entry entry : entries.values()) {
      entry.changedAt += entry.member.state() == MemberState.SUSPECT ? nanos : 0;
    }
  }

  /** Forgets members that are gone for long. */
  void forget(long now, long forgetNanos) {
    entries.values().removeIf(e -> !e.answers() && now - e.changedAt >= forgetNanos);
  }

  /** Forgets a member that does not answer. */
  void forgetIfSilent(VmId id) {
    Entry entry = entries.get(id);
    if (entry != null && !entry.answers()) {
      entries.remove(id);
    }
  }
}
