package io.jacinthquay.router.service.peer;

import io.jacinthquay.decision.membership.Candidate;
import io.jacinthquay.decision.membership.GossipMessage;
import io.jacinthquay.decision.membership.Relay;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.router.port.UsageSink;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.router.service.config.WithdrawnKeys;
import io.jacinthquay.router.service.dispatch.AdmissionDispatcher;
import io.jacinthquay.router.service.report.UsageCounters;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Keeps up what this router shares with others: copies of usage and local withdrawals. */
public final class PeerHub implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Time between two copies of usage counters, in milliseconds: what a crash may lose. */
  private static final long COPY_MILLIS = 100;

  /** Time between two deliveries for routers that are gone, in milliseconds. */
  private static final long ORPHAN_MILLIS = 1_000;

  /** Time between two exchanges of local withdrawals, in milliseconds. */
  private static final long WITHDRAWN_MILLIS = 1_000;

  private final VmId self;
  private final PeerMessenger messenger;
  private final MembershipService membership;
  private final AdmissionDispatcher dispatcher;
  private final UsageCounters counters;
  private final UsageSink sink;
  private final WithdrawnKeys withdrawn;
  private final HeldUsage held = new HeldUsage();
  private final SplittableRandom random;
  private final List<Candidate> fixed;
  private volatile List<Candidate> candidates;
  private ScheduledExecutorService executor;

  /**
   * Returns a hub.
   *
   * @param fixed the routers named in the settings
   */
  public PeerHub(
      VmId self,
      PeerMessenger messenger,
      MembershipService membership,
      AdmissionDispatcher dispatcher,
      UsageCounters counters,
      UsageSink sink,
      WithdrawnKeys withdrawn,
      List<Candidate> fixed,
      long seed) {
    this.self = self;
    this.messenger = messenger;
    this.membership = membership;
    this.dispatcher = dispatcher;
    this.counters = counters;
    this.sink = sink;
    this.withdrawn = withdrawn;
    this.fixed = List.copyOf(fixed);
    this.candidates = this.fixed.stream().filter(c -> !c.id().equals(self)).toList();
    this.random = new SplittableRandom(seed);
  }

  @Override
  public void start() {
    tellAddresses();
    membership.expect(candidates);
    membership.start();
    executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "peers");
              thread.setDaemon(true);
              return thread;
            });
    repeat(this::copyUsage, COPY_MILLIS);
    repeat(this::deliverOrphans, ORPHAN_MILLIS);
    repeat(this::exchangeWithdrawn, WITHDRAWN_MILLIS);
  }

  private void repeat(Runnable task, long millis) {
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log.error("work with other routers failed", e);
          }
        };
    var unused = executor.scheduleWithFixedDelay(guarded, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Takes in the platform's list, which names routers beside those of the settings. */
  public void update(List<VmEntry> list) {
    Map<VmId, Candidate> all = new HashMap<>();
    for (VmEntry entry : list) {
      if (entry.kind() == VmEntry.Kind.ENTRY) {
        Candidate candidate = candidate(entry);
        all.put(candidate.id(), candidate);
      }
    }
    fixed.forEach(candidate -> all.put(candidate.id(), candidate));
    all.remove(self);
    candidates = List.copyOf(all.values());
    tellAddresses();
    membership.candidates(candidates);
    tellLonelyDomains(list);
  }

  private void tellAddresses() {
    Map<VmId, InetSocketAddress> addresses = new HashMap<>();
    candidates.forEach(c -> addresses.put(c.id(), address(c.address())));
    messenger.addresses(addresses);
  }

  private static Candidate candidate(VmEntry entry) {
    InetSocketAddress address = entry.address();
    return new Candidate(
        new VmId(entry.name().value()),
        entry.domain(),
        SocketAddresses.format(address),
        entry.leaving());
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Upstreams of a failure domain without routers are shared by the routers of this one. */
  private void tellLonelyDomains(List<VmEntry> list) {
    Set<DomainId> lonely = new HashSet<>();
    list.forEach(entry -> lonely.add(entry.domain()));
    candidates.forEach(candidate -> lonely.remove(candidate.domain()));
    lonely.remove(membership.domain());
    DomainView own = membership.ownView();
    lonely.forEach(domain -> dispatcher.view(domain, own));
  }

  private void copyUsage() {
    List<VmId> peers = membership.livePeers();
    if (peers.isEmpty()) {
      return;
    }
    List<UsageCount> counts = counters.uncopied();
    if (!counts.isEmpty()) {
      messenger.usage(next(peers), counts);
    }
  }

  /** Returns the first peer after this router in the order of names. */
  private VmId next(List<VmId> peers) {
    return peers.stream()
        .sorted()
        .filter(peer -> peer.compareTo(self) > 0)
        .findFirst()
        .orElse(peers.get(0));
  }

  private void deliverOrphans() {
    List<UsageCount> orphans = held.orphaned(membership::isGone);
    if (orphans.isEmpty()) {
      return;
    }
    Either<Failure, Void> shipped = sink.ship(orphans);
    if (shipped.isRight()) {
      held.delivered(orphans);
      log.info("delivered {} usage counters of routers that are gone", orphans.size());
    }
  }

  private void exchangeWithdrawn() {
    List<Candidate> known = candidates;
    if (!withdrawn.all().isEmpty() && !known.isEmpty()) {
      Candidate any = known.get(random.nextInt(known.size()));
      messenger.withdrawn(any.id(), withdrawn.all());
    }
  }

  /** Takes in a message of the membership. */
  public void gossip(GossipMessage message) {
    membership.receive(message);
  }

  /** Returns how many other routers of the failure domain live. */
  public int livePeers() {
    return membership.livePeers().size();
  }

  /** Keeps usage counters of another router. */
  public void keep(VmId from, List<UsageCount> counts) {
    held.keep(from, counts);
  }

  /** Tells every other router which keys were withdrawn here. */
  public void spreadWithdrawn() {
    candidates.forEach(candidate -> messenger.withdrawn(candidate.id(), withdrawn.all()));
  }

  /** Returns where configuration relays of this failure domain listen; empty on a relay itself. */
  public List<InetSocketAddress> relays() {
    List<Relay> relays = membership.relays();
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (Relay relay : relays) {
      if (relay.id().equals(self)) {
        return List.of();
      }
      addresses.add(address(relay.address()));
    }
    return addresses;
  }

  @Override
  public void stop() {
    if (executor != null) {
      List<Runnable> unused = executor.shutdownNow();
      copyUsage();
    }
    membership.stop();
  }
}
