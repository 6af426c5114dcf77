package io.jacinthquay.router.service;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.adapter.http.CallerServer;
import io.jacinthquay.router.adapter.http.UndertowUpstreamClient;
import io.jacinthquay.router.port.KeyAuthority;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.router.service.config.ConfigFollower;
import io.jacinthquay.router.service.config.KeyLease;
import io.jacinthquay.router.service.config.LeasedKeyAuthority;
import io.jacinthquay.router.service.config.PolicyHolder;
import io.jacinthquay.router.service.config.WithdrawnKeys;
import io.jacinthquay.router.service.dispatch.AdmissionDispatcher;
import io.jacinthquay.router.service.dispatch.EngineWatcher;
import io.jacinthquay.router.service.dispatch.UpstreamDirectory;
import io.jacinthquay.router.service.report.MetricsPage;
import io.jacinthquay.router.service.report.RequestLog;
import io.jacinthquay.router.service.report.RequestReporter;
import io.jacinthquay.router.service.report.RouterMetrics;
import io.jacinthquay.router.service.report.UsageCounters;
import io.jacinthquay.router.service.report.UsageShipper;
import io.jacinthquay.router.service.request.ActiveRequests;
import io.jacinthquay.router.service.request.LocalPages;
import io.jacinthquay.router.service.request.RouterIntake;
import io.jacinthquay.router.service.request.RunServices;
import io.jacinthquay.runtime.Service;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * One router: takes callers' requests and sends them to upstreams.
 *
 * <pre>{@code
 * RouterService router = RouterService.create(options, ports);
 * router.start();
 * }</pre>
 *
 * <p>{@link #stop()} first turns {@code /ready} false, then refuses new requests, lets running ones
 * finish, delivers the last usage counters and returns.
 */
public final class RouterService implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Longest wait of one configuration poll; a fraction of the usual key lease. */
  private static final Duration CONFIG_WAIT = Duration.ofSeconds(1);

  private static final long KEY_CHECK_MILLIS = 200;
  private static final long TICK_MILLIS = 2;
  private static final long DRAIN_POLL_MILLIS = 10;

  private final RouterOptions options;
  private final PolicyHolder policies = new PolicyHolder();
  private final KeyLease lease = new KeyLease();
  private final WithdrawnKeys withdrawn = new WithdrawnKeys();
  private final ActiveRequests active = new ActiveRequests();
  private final MetricRegistry registry = new MetricRegistry();
  private final KeyAuthority keys;
  private final AdmissionDispatcher dispatcher;
  private final EngineWatcher watcher;
  private final UpstreamDirectory directory;
  private final ConfigFollower follower;
  private final UsageShipper shipper;
  private final UndertowUpstreamClient upstreams;
  private final CallerServer server;
  private final ScheduledExecutorService ticks;
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
            (to, message) -> {},
            new SecureRandom().nextLong());
    watcher = new EngineWatcher(ports.engines(), dispatcher);
    directory =
        new UpstreamDirectory(ports.vms(), this::onVmList, options.vmListInterval().toMillis());
    follower = new ConfigFollower(ports.config(), policies, lease, Map::of, CONFIG_WAIT);
    upstreams = new UndertowUpstreamClient(options.connectTimeout());
    UsageCounters usage =
        new UsageCounters(incarnation, options.usageWindow().toMillis(), System::currentTimeMillis);
    shipper = new UsageShipper(usage, ports.usage());
    RouterMetrics metrics =
        new RouterMetrics(registry, name -> policies.view().policy().classPolicy(name));
    addGauges(metrics);
    RequestLog requestLog = new RequestLog();
    RequestReporter reporter =
        entry -> {
          usage.report(entry);
          metrics.report(entry);
          requestLog.report(entry);
        };
    RunServices services =
        new RunServices(
            dispatcher, upstreams, ports.claims(), active, reporter, options.stall().toMillis());
    LocalPages pages = new LocalPages(this::unready, new MetricsPage(registry));
    RouterIntake intake =
        new RouterIntake(incarnation, policies, keys, pages, services, () -> draining);
    server = new CallerServer(options.listen(), options.ioThreads(), options.limits(), intake);
    ticks =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "ticks");
              thread.setDaemon(true);
              return thread;
            });
    policies.onChange(view -> onChange());
  }

  /** Returns a router that has not started. */
  public static RouterService create(RouterOptions options, RouterPorts ports) {
    return new RouterService(options, ports);
  }

  private void addGauges(RouterMetrics metrics) {
    metrics.gauge("jq_config_version", () -> policies.version().value());
    metrics.gauge("jq_config_age_ms", () -> millis(follower.ageNanos(System.nanoTime())));
    metrics.gauge("jq_keys_left_ms", () -> millis(lease.leftNanos(System.nanoTime())));
    metrics.gauge("jq_vm_list_age_ms", () -> millis(directory.ageNanos(System.nanoTime())));
    metrics.gauge("jq_load_age_ms", () -> millis(watcher.loadAgeNanos(System.nanoTime())));
    metrics.gauge("jq_cache_events_age_ms", () -> millis(watcher.cacheAgeNanos(System.nanoTime())));
    metrics.gauge("jq_active_requests", active::count);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private void onVmList(List<VmEntry> list) {
    vms = list;
    watcher.update(list);
    list.stream()
        .map(VmEntry::domain)
        .distinct()
        .forEach(domain -> dispatcher.view(domain, DomainView.alone(options.self())));
    dispatcher.update(list, policies.view().policy());
  }

  private void onChange() {
    dispatcher.update(vms, policies.view().policy());
    recheckKeys();
  }

  /** Withdrawals and the end of the key lease reach requests in progress too. */
  private void recheckKeys() {
    long now = System.nanoTime();
    active.recheckKeys(digest -> keys.authenticate(digest, now));
  }

  private Optional<String> unready() {
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
    directory.start();
    watcher.start();
    follower.start();
    shipper.start();
    var unused =
        ticks.scheduleWithFixedDelay(
            this::recheckKeys, KEY_CHECK_MILLIS, KEY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    var unusedToo =
        ticks.scheduleWithFixedDelay(
            dispatcher::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    log.info("router {} listens on port {}", options.self(), port());
  }

  /** Returns the port that callers connect to. */
  public int port() {
    return server.port();
  }

  /** Returns the version of the configuration in force. */
  public long configVersion() {
    return policies.version().value();
  }

  /** Returns how many requests are in progress. */
  public int activeRequests() {
    return active.count();
  }

  /** Ends the key lease at once, as if no keeper had answered for its whole length. */
  public void expireKeys() {
    lease.expire();
  }

  /** Returns how many upstreams the platform lists. */
  public int upstreams() {
    return vms.size();
  }

  /** Returns whether requests with keys are taken now. */
  public boolean isReady() {
    return unready().isEmpty();
  }

  @Override
  public void stop() {
    stopping = true;
    pause(options.drainDelay().toMillis());
    draining = true;
    server.stopAccepting();
    awaitRequests();
    dispatcher.leave();
    server.stop();
    List<Runnable> unused = ticks.shutdownNow();
    follower.stop();
    directory.stop();
    watcher.stop();
    shipper.stop();
    upstreams.close();
    log.info("router {} stopped", options.self());
  }

  private void awaitRequests() {
    long end = System.nanoTime() + options.drainLimit().toNanos();
    while (active.count() > 0 && System.nanoTime() - end < 0) {
      pause(DRAIN_POLL_MILLIS);
    }
    if (active.count() > 0) {
      log.error("{} requests did not finish in time", active.count());
      active.endAll(Failure.of(ResultCode.SHUTTING_DOWN));
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
