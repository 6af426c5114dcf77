package io.jacinthquay.router.service.peer;

import io.jacinthquay.decision.membership.Candidate;
import io.jacinthquay.decision.membership.GossipMessage;
import io.jacinthquay.decision.membership.GossipNode;
import io.jacinthquay.decision.membership.GossipSettings;
import io.jacinthquay.decision.membership.Member;
import io.jacinthquay.decision.membership.MemberLoad;
import io.jacinthquay.decision.membership.MemberState;
import io.jacinthquay.decision.membership.MemberView;
import io.jacinthquay.decision.membership.OutgoingMessage;
import io.jacinthquay.decision.membership.Relay;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.runtime.Service;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the gossip membership of this router and reports which routers each failure domain has.
 *
 * <p>The gossip state machine is guarded by its own lock. Messages and views are passed on after
 * that lock is released. Views are reported one at a time under the service's monitor, which is
 * taken before any other lock.
 */
public final class MembershipService implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Interval of membership ticks, in milliseconds. */
  private static final long TICK_MILLIS = 20;

  /** Number of ticks between two updates of this router's load. */
  private static final long TICKS_PER_LOAD = 50;

  private final Object lock = new Object();
  private final GossipNode node;
  private final Member self;
  private final PeerMessenger messenger;
  private final BiConsumer<DomainId, DomainView> views;
  private final Supplier<MemberLoad> load;
  private final Map<DomainId, DomainView> lastViews = new HashMap<>();
  private volatile List<Candidate> candidates = List.of();
  private volatile boolean listed;
  private long ticks;
  private ScheduledExecutorService executor;

  /**
   * Returns a service.
   *
   * @param self this router
   * @param messenger sends gossip messages to other routers
   * @param views called with each change of a failure domain's routers
   * @param load returns the current load of this router
   * @param seed seed of the random choices
   */
  public MembershipService(
      Member self,
      PeerMessenger messenger,
      BiConsumer<DomainId, DomainView> views,
      Supplier<MemberLoad> load,
      long seed) {
    this.self = self;
    this.messenger = messenger;
    this.views = views;
    this.load = load;
    this.node = GossipNode.create(self, GossipSettings.defaults(), seed);
  }

  @Override
  public void start() {
    executor =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "membership");
              thread.setDaemon(true);
              return thread;
            });
    var unused =
        executor.scheduleWithFixedDelay(
            this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Sets the routers named in the settings; views are reported only after the platform's list. */
  void setInitialCandidates(Collection<Candidate> routers) {
    candidates = List.copyOf(routers);
    synchronized (lock) {
      node.setCandidates(routers, System.nanoTime());
    }
  }

  /**
   * Updates the VMs that may be routers and reports the views at once.
   *
   * @param routers the candidates, with or without this router
   */
  public void updateCandidates(Collection<Candidate> routers) {
    setInitialCandidates(routers);
    listed = true;
    reportViews();
  }

  /** Sends due gossip messages and reports changed views. */
  void tick() {
    try {
      boolean loadDue = ticks++ % TICKS_PER_LOAD == 0;
      MemberLoad currentLoad = loadDue ? load.get() : MemberLoad.NONE;
      List<OutgoingMessage> messages;
      synchronized (lock) {
        long now = System.nanoTime();
        if (loadDue) {
          node.setLoad(currentLoad, now);
        }
        messages = isDue(node.nextTickNanos(), now) ? node.tick(now) : List.of();
      }
      messages.forEach(messenger::sendGossip);
      reportViews();
    } catch (RuntimeException e) {
      log.error("membership tick failed", e);
    }
  }

  /** The first tick is due at {@code Long.MIN_VALUE}, where a subtraction would overflow. */
  private static boolean isDue(long nextNanos, long nowNanos) {
    return nextNanos == Long.MIN_VALUE || nowNanos - nextNanos >= 0;
  }

  /** Handles a gossip message of another router. */
  public void receive(GossipMessage message) {
    List<OutgoingMessage> messages;
    synchronized (lock) {
      messages = node.receive(message, System.nanoTime());
    }
    messages.forEach(messenger::sendGossip);
  }

  /**
   * Reports all views, but only once the platform's list is known: without it a router would
   * consider itself the only one and grant the capacity that all routers share.
   */
  private synchronized void reportViews() {
    if (!listed) {
      return;
    }
    DomainView own;
    synchronized (lock) {
      own = withListed(node.domainView());
    }
    report(self.domain(), own);
    candidates.stream()
        .map(Candidate::domain)
        .filter(domain -> !domain.equals(self.domain()))
        .distinct()
        .forEach(domain -> report(domain, remoteView(domain)));
  }

  /**
   * Adds listed routers without known membership to the voters, because they may hold slots;
   * routers that announced their leave do not.
   */
  private DomainView withListed(DomainView gossiped) {
    Set<VmId> left =
        node.members(System.nanoTime()).stream()
            .map(MemberView::member)
            .filter(member -> member.state() == MemberState.LEFT)
            .map(Member::id)
            .collect(Collectors.toSet());
    List<VmId> voters = new ArrayList<>(gossiped.members());
    candidates.stream()
        .filter(c -> c.domain().equals(self.domain()) && !c.leaving() && !left.contains(c.id()))
        .forEach(candidate -> voters.add(candidate.id()));
    return new DomainView(voters, gossiped.live());
  }

  /** Returns the listed routers of another failure domain; the reachable ones count as live. */
  private DomainView remoteView(DomainId domain) {
    List<Candidate> listedThere =
        candidates.stream().filter(c -> c.domain().equals(domain) && !c.leaving()).toList();
    List<VmId> voters = listedThere.stream().map(Candidate::id).toList();
    return new DomainView(voters, voters.stream().filter(messenger::isReachable).toList());
  }

  private void report(DomainId domain, DomainView view) {
    DomainView before = lastViews.put(domain, view);
    if (!view.equals(before)) {
      views.accept(domain, view);
    }
  }

  /** Returns the failure domain of this router. */
  public DomainId domain() {
    return self.domain();
  }

  /** Returns the routers of this router's failure domain. */
  public DomainView ownView() {
    synchronized (lock) {
      return node.domainView();
    }
  }

  /** Returns the other live routers of this router's failure domain. */
  public List<VmId> livePeers() {
    synchronized (lock) {
      return node.domainView().live().stream().filter(id -> !id.equals(self.id())).toList();
    }
  }

  /** Returns whether a router of this router's failure domain is dead, has left or is unknown. */
  public boolean isGone(VmId router) {
    synchronized (lock) {
      return node.members(System.nanoTime()).stream()
          .map(MemberView::member)
          .filter(member -> member.id().equals(router))
          .noneMatch(MembershipService::isPresent);
    }
  }

  private static boolean isPresent(Member member) {
    return member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT;
  }

  /** Returns the routers that fetch the configuration from the keepers for their domain. */
  public List<Relay> relays() {
    synchronized (lock) {
      return node.relays();
    }
  }

  @Override
  public void stop() {
    if (executor == null) {
      return;
    }
    List<Runnable> unused = executor.shutdownNow();
    List<OutgoingMessage> leaveMessages;
    synchronized (lock) {
      leaveMessages = node.announceLeft(System.nanoTime());
    }
    leaveMessages.forEach(messenger::sendGossip);
  }
}
