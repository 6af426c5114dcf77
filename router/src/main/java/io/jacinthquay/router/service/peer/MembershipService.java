package io.jacinthquay.router.service.peer;

import io.jacinthquay.decision.membership.Candidate;
import io.jacinthquay.decision.membership.GossipMessage;
import io.jacinthquay.decision.membership.GossipNode;
import io.jacinthquay.decision.membership.GossipSettings;
import io.jacinthquay.decision.membership.Member;
import io.jacinthquay.decision.membership.MemberLoad;
import io.jacinthquay.decision.membership.MemberState;
import io.jacinthquay.decision.membership.MemberView;
import io.jacinthquay.decision.membership.Outgoing;
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
 * Runs the membership of this router and tells who the routers of each failure domain are.
 *
 * <p>The state machine is guarded by a lock of its own. Messages and views are passed on after that
 * is given back; views are told one at a time under the service's monitor, before any other lock.
 */
public final class MembershipService implements Service {
  private static final Logger log = LogManager.getLogger();
  private static final long TICK_MILLIS = 20;
  private static final long TICKS_PER_LOAD = 50;

  private final Object lock = new Object();
  private final GossipNode node;
  private final Member self;
  private final PeerMessenger messenger;
  private final BiConsumer<DomainId, DomainView> views;
  private final Supplier<MemberLoad> load;
  private final Map<DomainId, DomainView> told = new HashMap<>();
  private volatile List<Candidate> candidates = List.of();
  private volatile boolean listed;
  private long ticks;
  private ScheduledExecutorService executor;

  /**
   * Returns a service.
   *
   * @param self this router
   * @param messenger carries messages
   * @param views hears of each change of a failure domain's routers
   * @param load reads the load of this router
   * @param seed of the random choices
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

  /** Takes in the VMs that the settings name as routers; the views wait for the list. */
  void expect(Collection<Candidate> all) {
    candidates = List.copyOf(all);
    synchronized (lock) {
      node.candidates(all, System.nanoTime());
    }
  }

  /**
   * Takes in the VMs that may be routers, this one left out or not, and tells the views at once.
   */
  public void candidates(Collection<Candidate> all) {
    expect(all);
    listed = true;
    tellViews();
  }

  /** Sends what is due and tells changes of the views. */
  void tick() {
    try {
      boolean due = ticks++ % TICKS_PER_LOAD == 0;
      MemberLoad reading = due ? load.get() : MemberLoad.NONE;
      List<Outgoing> out;
      synchronized (lock) {
        long time = System.nanoTime();
        if (due) {
          node.load(reading, time);
        }
        out = isDue(node.nextTickNanos(), time) ? node.tick(time) : List.of();
      }
      out.forEach(messenger::gossip);
      tellViews();
    } catch (RuntimeException e) {
      log.error("the membership failed", e);
    }
  }

  /** The first tick is due at {@code Long.MIN_VALUE}, from which no difference can be taken. */
  private static boolean isDue(long nextNanos, long nowNanos) {
    return nextNanos == Long.MIN_VALUE || nowNanos - nextNanos >= 0;
  }

  /** Takes in a message of another router. */
  public void receive(GossipMessage message) {
    List<Outgoing> out;
    synchronized (lock) {
      out = node.receive(message, System.nanoTime());
    }
    out.forEach(messenger::gossip);
  }

  /** A view from before the list would be that of a router alone, which grants what all share. */
  private synchronized void tellViews() {
    if (!listed) {
      return;
    }
    DomainView own;
    synchronized (lock) {
      own = withListed(node.domainView());
    }
    tell(self.domain(), own);
    candidates.stream()
        .map(Candidate::domain)
        .filter(domain -> !domain.equals(self.domain()))
        .distinct()
        .forEach(domain -> tell(domain, remoteView(domain)));
  }

  /**
   * A router that is listed and not heard of yet may hold slots; one that said it left does not.
   */
  private DomainView withListed(DomainView heard) {
    Set<VmId> left =
        node.members(System.nanoTime()).stream()
            .map(MemberView::member)
            .filter(member -> member.state() == MemberState.LEFT)
            .map(Member::id)
            .collect(Collectors.toSet());
    List<VmId> voters = new ArrayList<>(heard.voters());
    candidates.stream()
        .filter(c -> c.domain().equals(self.domain()) && !c.leaving() && !left.contains(c.id()))
        .forEach(candidate -> voters.add(candidate.id()));
    return new DomainView(voters, heard.live());
  }

  /** The routers of another failure domain are those listed, without those out of reach. */
  private DomainView remoteView(DomainId domain) {
    List<Candidate> there =
        candidates.stream().filter(c -> c.domain().equals(domain) && !c.leaving()).toList();
    List<VmId> voters = there.stream().map(Candidate::id).toList();
    return new DomainView(voters, voters.stream().filter(messenger::isReachable).toList());
  }

  private void tell(DomainId domain, DomainView view) {
    DomainView before = told.put(domain, view);
    if (!view.equals(before)) {
      views.accept(domain, view);
    }
  }

  /** Returns the failure domain of this router. */
  public DomainId domain() {
    return self.domain();
  }

  /** Returns the routers of the own failure domain. */
  public DomainView ownView() {
    synchronized (lock) {
      return node.domainView();
    }
  }

  /** Returns the other living routers of the own failure domain. */
  public List<VmId> livePeers() {
    synchronized (lock) {
      return node.domainView().live().stream().filter(id -> !id.equals(self.id())).toList();
    }
  }

  /** Returns whether a router of the own failure domain has died or left. */
  public boolean isGone(VmId router) {
    synchronized (lock) {
      return node.members(System.nanoTime()).stream()
          .map(MemberView::member)
          .filter(member -> member.id().equals(router))
          .noneMatch(MembershipService::answers);
    }
  }

  private static boolean answers(Member member) {
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
    List<Outgoing> farewell;
    synchronized (lock) {
      farewell = node.left(System.nanoTime());
    }
    farewell.forEach(messenger::gossip);
  }
}
