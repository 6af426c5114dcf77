package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.ControlViewMessage;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Selects the newest of the lists of upstreams that a router receives from several control VMs and
 * from the platform.
 *
 * <p>Handles upstreams that leave while nobody leads: any control VM's list is applied if the
 * platform was certainly polled for it after the list in force. A VM that can't reach the platform
 * states the age of its list, which so never replaces a newer one. The last list of each VM is
 * kept, so that a VM sends its list again only if that has changed.
 *
 * <p>Thread-safe.
 */
final class ListInForce {
  /** Where a list comes from. */
  enum Source {
    NONE,
    LEADER,
    RELAY,
    /** A control VM that neither leads nor relays. */
    OTHER_VM,
    PLATFORM;

    /** Returns a name for logs, the same for the leader and its relays. */
    String kind() {
      return switch (this) {
        case NONE -> "nowhere";
        case LEADER, RELAY -> "the leader or a relay";
        case OTHER_VM -> "another control VM";
        case PLATFORM -> "the platform";
      };
    }
  }

  /**
   * A list as it was received.
   *
   * @param number number that its VM gave it
   * @param receivedNanos when the remaining cold start times in it were true, on the monotonic
   *     clock
   */
  private record Received(long number, List<UpstreamListing> listings, long receivedNanos) {
    /** Returns the list with the cold start times that remain at a time. */
    List<UpstreamListing> at(long now) {
      long passedMillis = (now - receivedNanos) / NANOS_PER_MILLI;
      return listings.stream()
          .map(listing -> listing.withColdMillis(Math.max(0, listing.coldMillis() - passedMillis)))
          .toList();
    }
  }

  /**
   * What a VM said of its list.
   *
   * @param vm address of the VM
   * @param source what the VM is
   * @param number number of its list; 0 if it has none
   * @param listings the list; empty if the VM did not send it
   * @param ageMillis time since the platform was polled for it, in milliseconds
   * @param requestNanos when the VM was asked, on the monotonic clock
   * @param answerNanos when it had answered
   */
  record Answer(
      String vm,
      Source source,
      long number,
      Optional<List<UpstreamListing>> listings,
      long ageMillis,
      long requestNanos,
      long answerNanos) {
    /** Returns what a view says of the list of the VM that returned it. */
    static Answer of(String vm, ControlViewMessage view, long requestNanos, long answerNanos) {
      Source other = view.isRelays() ? Source.RELAY : Source.OTHER_VM;
      return new Answer(
          vm,
          view.isLeads() ? Source.LEADER : other,
          view.getListNumber(),
          Optional.ofNullable(view.getUpstreams())
              .map(sent -> sent.getUpstreams().stream().map(UpstreamMessages::toListing).toList()),
          view.getListAgeMillis(),
          requestNanos,
          answerNanos);
    }
  }

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final String PLATFORM = "the platform";

  private final Consumer<List<UpstreamListing>> apply;
  private final PoolVersionRuns versions;
  private final Map<String, Received> lastByVm = new HashMap<>();
  private Set<UpstreamListing> inForce = Set.of();

  /** The list of a VM that is in force; empty if it is one of the platform, or none. */
  private Optional<Received> inForceOfVm = Optional.empty();

  private Source source = Source.NONE;
  private String origin = "";

  /** Bounds of the time at which the platform was polled for the list in force. */
  private long earliestPollNanos;

  private long latestPollNanos;

  /**
   * Returns an instance without a list.
   *
   * @param apply receives each list that differs from the one in force before, in order
   * @param versions receives each list, also those that don't come into force
   */
  ListInForce(Consumer<List<UpstreamListing>> apply, PoolVersionRuns versions) {
    this.apply = apply;
    this.versions = versions;
  }

  /** Returns the number of the list that a VM sent last; empty if it sent none. */
  synchronized Optional<Long> numberFrom(String vm) {
    return Optional.ofNullable(lastByVm.get(vm)).map(Received::number);
  }

  /** Drops the lists kept of VMs that are not asked any more. */
  synchronized void retain(Collection<String> vms) {
    lastByVm.keySet().retainAll(vms);
  }

  /** Takes what a VM said of its list, and applies that if it is newer than the one in force. */
  synchronized void record(Answer answer) {
    answer
        .listings()
        .ifPresent(
            listings ->
                lastByVm.put(
                    answer.vm(), new Received(answer.number(), listings, answer.answerNanos())));
    Received last = lastByVm.get(answer.vm());
    if (last == null || last.number() != answer.number()) {
      return;
    }
    long ageNanos = answer.ageMillis() * NANOS_PER_MILLI;
    // The stated age is cut to whole milliseconds.
    long earliestNanos = answer.requestNanos() - ageNanos - NANOS_PER_MILLI;
    long latestNanos = answer.answerNanos() - ageNanos;
    versions.record(last.listings(), earliestNanos, latestNanos);
    if (isNewer(answer.vm(), earliestNanos, latestNanos)) {
      // Most views confirm the list in force, and are many a second.
      boolean confirms = inForceOfVm.filter(received -> received == last).isPresent();
      if (!confirms) {
        replace(last.at(answer.answerNanos()));
        inForceOfVm = Optional.of(last);
      }
      source = answer.source();
      origin = answer.vm();
      earliestPollNanos = earliestNanos;
      latestPollNanos = latestNanos;
    }
  }

  /** Applies a list that the platform returned to this router. */
  synchronized void recordPlatform(
      List<UpstreamListing> listings, long requestNanos, long answerNanos) {
    versions.record(listings, requestNanos, answerNanos);
    if (isNewer(PLATFORM, requestNanos, answerNanos)) {
      replace(listings);
      inForceOfVm = Optional.empty();
      source = Source.PLATFORM;
      origin = PLATFORM;
      earliestPollNanos = requestNanos;
      latestPollNanos = answerNanos;
    }
  }

  /**
   * Returns whether a list counts as newer than the one in force. One of another origin has to be
   * polled later for certain; those of one origin arrive in the order of its polls.
   */
  private boolean isNewer(String from, long earliestNanos, long latestNanos) {
    if (source == Source.NONE) {
      return true;
    }
    return from.equals(origin)
        ? latestNanos - earliestPollNanos >= 0
        : earliestNanos - latestPollNanos > 0;
  }

  private void replace(List<UpstreamListing> listings) {
    Set<UpstreamListing> upstreams = withoutTimes(listings);
    if (source == Source.NONE || !upstreams.equals(inForce)) {
      inForce = upstreams;
      apply.accept(listings);
    }
  }

  /** Returns the upstreams without their remaining cold start times, which pass by themselves. */
  private static Set<UpstreamListing> withoutTimes(List<UpstreamListing> listings) {
    return listings.stream()
        .map(listing -> listing.withColdMillis(listing.coldMillis() > 0 ? 1 : 0))
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the age of the list in force, or the longest time if there is none. */
  synchronized Duration age(long now) {
    return source == Source.NONE
        ? Duration.ofNanos(Long.MAX_VALUE)
        : Duration.ofNanos(now - earliestPollNanos);
  }

  /** Returns the number of upstreams in the list in force. */
  synchronized int size() {
    return inForce.size();
  }

  /** Returns where the list in force comes from. */
  synchronized Source source() {
    return source;
  }

  /** Returns the address of the VM that the list in force comes from, or the platform's name. */
  synchronized String origin() {
    return origin;
  }
}
