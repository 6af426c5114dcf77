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

/** Exchanges usage copies and local key withdrawals with the other routers. */
public final class PeerHub implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Interval of usage copies, in milliseconds; a crash may lose the usage of this time. */
  private static final long USAGE_COPY_MILLIS = 100;

  /** Interval of usage deliveries for routers that are gone, in milliseconds. */
  private static final long ORPHAN_DELIVERY_MILLIS = 1_000;

  /** Interval of the exchange of withdrawn keys, in milliseconds. */
  private static final long KEY_EXCHANGE_MILLIS = 1_000;

  private final VmId self;
  private final PeerMessenger messenger;
  private final MembershipService membership;
  private final AdmissionDispatcher dispatcher;
  private final UsageCounters counters;
  private final UsageSink sink;
  private final WithdrawnKeys withdrawn;
  private final UsageReplicas replicas = new UsageReplicas();
  private final SplittableRandom random;
  private final List<Candidate> fixed;
  private volatile List<Candidate> candidates;
  private ScheduledExecutorService executor;

  /**
   * Returns a hub.
   *
   * @param fixed the routers named in the settings, with or without this one
   * @param seed seed of the random choices
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
    updateAddresses();
    membership.setInitialCandidates(candidates);
    membership.start();
    executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "peers");
              thread.setDaemon(true);
              return thread;
            });
    schedule(this::copyUsage, USAGE_COPY_MILLIS);
    schedule(this::deliverOrphans, ORPHAN_DELIVERY_MILLIS);
    schedule(this::sendWithdrawnKeys, KEY_EXCHANGE_MILLIS);
  }

  private void schedule(Runnable task, long millis) {
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            log.error("periodic exchange with other routers failed", e);
          }
        };
    var unused = executor.scheduleWithFixedDelay(guarded, millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Updates the platform's list of VMs, which may name routers that are not in the settings. */
  public void updateVms(List<VmEntry> list) {
    Map<VmId, Candidate> routers = new HashMap<>();
    for (VmEntry entry : list) {
      if (entry.kind() == VmEntry.Kind.ENTRY) {
        Candidate candidate = candidate(entry);
        routers.put(candidate.id(), candidate);
      }
    }
    fixed.forEach(candidate -> routers.put(candidate.id(), candidate));
    routers.remove(self);
    candidates = List.copyOf(routers.values());
    updateAddresses();
    membership.updateCandidates(candidates);
    shareDomainsWithoutRouters(list);
  }

  private void updateAddresses() {
    Map<VmId, InetSocketAddress> addresses = new HashMap<>();
    candidates.forEach(candidate -> addresses.put(candidate.id(), address(candidate.address())));
    messenger.setAddresses(addresses);
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

  /** Lets the routers of this failure domain share the upstreams of domains without routers. */
  private void shareDomainsWithoutRouters(List<VmEntry> list) {
    Set<DomainId> withoutRouters = new HashSet<>();
    list.forEach(entry -> withoutRouters.add(entry.domain()));
    candidates.forEach(candidate -> withoutRouters.remove(candidate.domain()));
    withoutRouters.remove(membership.domain());
    DomainView own = membership.ownView();
    withoutRouters.forEach(domain -> dispatcher.updateDomainView(domain, own));
  }

  private void copyUsage() {
    List<VmId> peers = membership.livePeers();
    if (peers.isEmpty()) {
      return;
    }
    List<UsageCount> counts = counters.takeUncopied();
    if (!counts.isEmpty()) {
      messenger.sendUsage(successor(peers), counts);
    }
  }

  /** Returns the peer after this router in the order of names, or the first peer. */
  private VmId successor(List<VmId> peers) {
    return peers.stream()
        .sorted()
        .filter(peer -> peer.compareTo(self) > 0)
        .findFirst()
        .orElse(peers.get(0));
  }

  private void deliverOrphans() {
    List<UsageCount> orphans = replicas.orphaned(membership::isGone);
    if (orphans.isEmpty()) {
      return;
    }
    Either<Failure, Void> result = sink.deliver(orphans);
    if (result.isRight()) {
      replicas.remove(orphans);
      log.info("delivered {} usage counters for routers that are gone", orphans.size());
    }
  }

  private void sendWithdrawnKeys() {
    List<Candidate> known = candidates;
    if (!withdrawn.all().isEmpty() && !known.isEmpty()) {
      Candidate target = known.get(random.nextInt(known.size()));
      messenger.sendWithdrawnKeys(target.id(), withdrawn.all());
    }
  }

  /** Handles a gossip message. */
  public void receiveGossip(GossipMessage message) {
    membership.receive(message);
  }

  /** Returns the number of other live routers of this failure domain. */
  public int livePeers() {
    return membership.livePeers().size();
  }

  /** Stores a copy of another router's usage counters. */
  public void storeUsageCopies(VmId from, List<UsageCount> counts) {
    replicas.store(from, counts);
  }

  /** Sends the keys withdrawn here to every other router. */
  public void broadcastWithdrawnKeys() {
    candidates.forEach(candidate -> messenger.sendWithdrawnKeys(candidate.id(), withdrawn.all()));
  }

  /** Returns the addresses of this domain's configuration relays; empty if this router is one. */
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
