package io.jacinthquay.router.service;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.decision.membership.GossipMessage;
import io.jacinthquay.decision.membership.Member;
import io.jacinthquay.decision.membership.MemberLoad;
import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.adapter.http.CallerServer;
import io.jacinthquay.router.adapter.http.UndertowUpstreamClient;
import io.jacinthquay.router.port.ConfigPosition;
import io.jacinthquay.router.port.ConfigUpdate;
import io.jacinthquay.router.port.KeyAuthority;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.port.PeerReceiver;
import io.jacinthquay.router.port.RouterAges;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.router.service.config.ConfigFollower;
import io.jacinthquay.router.service.config.KeyLease;
import io.jacinthquay.router.service.config.LeasedKeyAuthority;
import io.jacinthquay.router.service.config.PolicyHolder;
import io.jacinthquay.router.service.config.WithdrawnKeys;
import io.jacinthquay.router.service.dispatch.AdmissionDispatcher;
import io.jacinthquay.router.service.dispatch.EnginePoller;
import io.jacinthquay.router.service.dispatch.VmListPoller;
import io.jacinthquay.router.service.peer.ConfigRelay;
import io.jacinthquay.router.service.peer.MembershipService;
import io.jacinthquay.router.service.peer.PeerHub;
import io.jacinthquay.router.service.report.MetricsPage;
import io.jacinthquay.router.service.report.RequestLog;
import io.jacinthquay.router.service.report.RequestReporter;
import io.jacinthquay.router.service.report.RouterMetrics;
import io.jacinthquay.router.service.report.UsageCounters;
import io.jacinthquay.router.service.report.UsageShipper;
import io.jacinthquay.router.service.request.ActiveRequests;
import io.jacinthquay.router.service.request.RequestServices;
import io.jacinthquay.router.service.request.RouterIntake;
import io.jacinthquay.router.service.request.StatusPages;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.http.AnswerMemory;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A router: accepts requests of callers and forwards them to upstreams.
 *
 * <pre>{@code
 * RouterService router = RouterService.create(options, ports);
 * router.start();
 * }</pre>
 *
 * <p>{@link #stop()} first makes {@code /ready} report that the router is not ready, then rejects
 * new requests, waits for running ones, and delivers the last usage counters before it returns.
 */
public final class RouterService implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Longest time of one configuration poll; a fraction of the usual key lease. */
  private static final Duration CONFIG_POLL_TIMEOUT = Duration.ofSeconds(1);

  /** Time between two checks of the keys of requests in progress. */
  private static final long KEY_CHECK_MILLIS = 200;

  /** Time between two ticks of the dispatcher. */
  private static final long TICK_MILLIS = 2;

  /** Time between two checks whether the last requests have finished. */
  private static final long DRAIN_POLL_MILLIS = 10;

  private final RouterOptions options;
  private final PolicyHolder policies = new PolicyHolder();
  private final KeyLease lease = new KeyLease();
  private final WithdrawnKeys withdrawn = new WithdrawnKeys();
  private final ActiveRequests active = new ActiveRequests();
  private final MetricRegistry registry = new MetricRegistry();
  private final KeyAuthority keys;
  private final AdmissionDispatcher dispatcher;
  private final EnginePoller enginePoller;
  private final VmListPoller vmListPoller;
  private final ConfigRelay relay;
  private final ConfigFollower follower;
  private final UsageShipper shipper;
  private final Optional<PeerHub> peers;
  private final RouterMetrics metrics;
  private final UndertowUpstreamClient upstreams;
  private final CallerServer server;
  private final ScheduledExecutorService scheduler;
  private volatile int vmCount;

  /**
   * Prevents a policy change from applying an older VM list again; acquired before the locks of the
   * pools.
   */
  private final Object vmListLock = new Object();

  private volatile List<VmEntry> vms = List.of();
  private volatile boolean stopping;
  private volatile boolean draining;

  private RouterService(RouterOptions options, RouterPorts ports) {
    this.options = options;
    String incarnation =
        options.self().value() + "/" + Long.toHexString(new SecureRandom().nextLong());
    keys = new LeasedKeyAuthority(policies, lease, withdrawn);
    dispatcher =
        new AdmissionDispatcher(
            options.self(),
            System.currentTimeMillis(),
            options.domain(),
            name -> policies.view().policy().classPolicy(name),
            ports.peers()::sendSlotMessage,
            new SecureRandom().nextLong());
    enginePoller = new EnginePoller(ports.engines(), dispatcher);
    vmListPoller =
        new VmListPoller(ports.vms(), this::onVmList, options.vmListInterval().toMillis());
    relay = new ConfigRelay(policies, lease);
    follower =
        new ConfigFollower(ports.config(), policies, lease, relay::relayed, CONFIG_POLL_TIMEOUT);
    upstreams = new UndertowUpstreamClient(options.connectTimeout());
    UsageCounters usage =
        new UsageCounters(incarnation, options.usageWindow().toMillis(), System::currentTimeMillis);
    shipper = new UsageShipper(usage, ports.usage());
    peers = newPeers(ports, usage);
    metrics = new RouterMetrics(registry, name -> policies.view().policy().classPolicy(name));
    addGauges();
    RequestLog requestLog = new RequestLog();
    RequestReporter reporter =
        entry -> {
          usage.report(entry);
          metrics.report(entry);
          requestLog.report(entry);
        };
    RequestServices services =
        new RequestServices(
            dispatcher,
            upstreams,
            ports.claims(),
            active,
            reporter,
            new AnswerMemory(),
            options.stall().toMillis());
    StatusPages pages = new StatusPages(this::notReadyReason, new MetricsPage(registry));
    RouterIntake intake =
        new RouterIntake(incarnation, policies, keys, pages, services, () -> draining);
    server = new CallerServer(options.listen(), options.ioThreads(), options.limits(), intake);
    scheduler =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "ticks");
              thread.setDaemon(true);
              return thread;
            });
    policies.addListener(view -> onPolicyChange());
  }

  private Optional<PeerHub> newPeers(RouterPorts ports, UsageCounters usage) {
    if (ports.peers() == PeerMessenger.NONE) {
      return Optional.empty();
    }
    Member self =
        Member.alive(
            options.self(),
            options.domain(),
            options.peers().address(),
            System.currentTimeMillis());
    MembershipService membership =
        new MembershipService(
            self,
            ports.peers(),
            dispatcher::updateDomainView,
            () -> new MemberLoad(active.count(), 0),
            new SecureRandom().nextLong());
    return Optional.of(
        new PeerHub(
            options.self(),
            ports.peers(),
            membership,
            dispatcher,
            usage,
            ports.usage(),
            withdrawn,
            options.peers().configuredPeers(),
            new SecureRandom().nextLong()));
  }

  /** Returns a router that has not started. */
  public static RouterService create(RouterOptions options, RouterPorts ports) {
    return new RouterService(options, ports);
  }

  private void addGauges() {
    metrics.gauge("jq_config_version", () -> policies.version().value());
    metrics.gauge("jq_config_age_ms", () -> millis(follower.updateAgeNanos(System.nanoTime())));
    metrics.gauge("jq_keys_left_ms", () -> millis(lease.remainingNanos(System.nanoTime())));
    metrics.gauge("jq_vm_list_age_ms", () -> millis(vmListPoller.listAgeNanos(System.nanoTime())));
    metrics.gauge("jq_load_age_ms", () -> millis(enginePoller.loadAgeNanos(System.nanoTime())));
    metrics.gauge(
        "jq_cache_events_age_ms",
        () -> millis(enginePoller.cacheEventsAgeNanos(System.nanoTime())));
    metrics.gauge("jq_active_requests", active::count);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private void onVmList(List<VmEntry> list) {
    enginePoller.updateEngines(list);
    peers.ifPresentOrElse(hub -> hub.updateVms(list), () -> updateDomainViews(list));
    synchronized (vmListLock) {
      dispatcher.updateUpstreams(list, policies.view().policy());
      vms = list;
      vmCount = list.size();
    }
  }

  private void updateDomainViews(List<VmEntry> list) {
    DomainView alone = DomainView.alone(options.self());
    list.stream()
        .map(VmEntry::domain)
        .distinct()
        .forEach(domain -> dispatcher.updateDomainView(domain, alone));
  }

  private void onPolicyChange() {
    synchronized (vmListLock) {
      dispatcher.updateUpstreams(vms, policies.view().policy());
    }
    withdrawn.prune(policies.view().policy());
    recheckKeys();
  }

  /** Ends requests in progress whose key was withdrawn or is no longer covered by the key lease. */
  private void recheckKeys() {
    long now = System.nanoTime();
    active.recheckKeys(digest -> keys.authenticate(digest, now));
  }

  private Optional<String> notReadyReason() {
    if (stopping) {
      return Optional.of("shutting down");
    }
    if (policies.version().equals(ConfigVersion.NONE)) {
      return Optional.of("no configuration yet");
    }
    if (!keys.isCurrent(System.nanoTime())) {
      return Optional.of("keys are not current");
    }
    return Optional.empty();
  }

  @Override
  public void start() {
    server.start();
    peers.ifPresent(PeerHub::start);
    vmListPoller.start();
    enginePoller.start();
    follower.start();
    shipper.start();
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::recheckKeys, KEY_CHECK_MILLIS, KEY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    var unusedTick =
        scheduler.scheduleWithFixedDelay(
            dispatcher::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    log.info("router {} listens on port {}", options.self(), port());
  }

  /** Returns the port that callers connect to. */
  public int port() {
    return server.port();
  }

  /** Returns the receiver of messages from other routers. */
  public PeerReceiver peerReceiver() {
    return new Receiver();
  }

  /** Returns the relays to poll for configuration; empty if this router polls the keepers. */
  public List<InetSocketAddress> configRelays() {
    return peers.map(PeerHub::relays).orElse(List.of());
  }

  /** Returns how many other routers of the failure domain are alive. */
  public int livePeers() {
    return peers.map(PeerHub::livePeers).orElse(0);
  }

  /** Returns whether the platform's VM list contains the upstream. */
  public boolean isListed(String upstream) {
    return vms.stream().anyMatch(entry -> entry.name().value().equals(upstream));
  }

  /** Returns the version of the configuration in force. */
  public long configVersion() {
    return policies.version().value();
  }

  /** Returns how many requests are in progress. */
  public int activeRequests() {
    return active.count();
  }

  /** Ends the key lease at once, as if no keeper had responded for its whole length. */
  public void expireKeyLease() {
    lease.expire();
  }

  /** Returns the length of the VM list that the dispatcher uses. */
  public int listedVmCount() {
    return vmCount;
  }

  /** Returns whether requests with keys are accepted now. */
  public boolean isReady() {
    return notReadyReason().isEmpty();
  }

  @Override
  public synchronized void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    sleep(options.drainDelay().toMillis());
    draining = true;
    server.stopAccepting();
    awaitRequests();
    dispatcher.releaseUnusedSlots();
    server.stop();
    List<Runnable> unused = scheduler.shutdownNow();
    follower.stop();
    vmListPoller.stop();
    enginePoller.stop();
    shipper.stop();
    peers.ifPresent(PeerHub::stop);
    upstreams.close();
    log.info("router {} stopped", options.self());
  }

  private void awaitRequests() {
    long endNanos = System.nanoTime() + options.drainLimit().toNanos();
    while (active.count() > 0 && System.nanoTime() - endNanos < 0) {
      sleep(DRAIN_POLL_MILLIS);
    }
    if (active.count() > 0) {
      log.error("{} requests did not finish within the drain limit", active.count());
      active.endAll(Failure.of(ResultCode.SHUTTING_DOWN));
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Handles messages from other routers. */
  private final class Receiver implements PeerReceiver {
    @Override
    public void receiveSlotMessage(SlotMessage message) {
      dispatcher.receive(message);
    }

    @Override
    public void receiveGossip(GossipMessage message) {
      peers.ifPresent(hub -> hub.receiveGossip(message));
    }

    @Override
    public void storeUsageCopies(VmId from, List<UsageCount> counts) {
      peers.ifPresent(hub -> hub.storeUsageCopies(from, counts));
    }

    @Override
    public void addWithdrawnKeys(Collection<KeyDigest> keyDigests) {
      if (withdrawn.add(keyDigests)) {
        recheckKeys();
      }
    }

    @Override
    public void withdrawKeys(Collection<KeyDigest> keyDigests) {
      addWithdrawnKeys(keyDigests);
      peers.ifPresent(PeerHub::broadcastWithdrawnKeys);
    }

    @Override
    public SloSnapshot slo() {
      return metrics.slo();
    }

    @Override
    public RouterAges ages() {
      long now = System.nanoTime();
      return new RouterAges(
          millis(follower.updateAgeNanos(now)),
          lease.isCurrent(now, 0) ? millis(follower.updateAgeNanos(now)) : -1,
          millis(enginePoller.loadAgeNanos(now)),
          millis(enginePoller.cacheEventsAgeNanos(now)),
          configVersion());
    }

    @Override
    public ConfigUpdate changes(VmId reader, ConfigPosition position, Duration wait) {
      return relay.changes(reader, position, wait);
    }
  }
}
