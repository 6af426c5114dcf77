package io.jacinthquay.controller;

import io.jacinthquay.controller.adapter.http.HttpPlatform;
import io.jacinthquay.controller.adapter.thrift.ThriftLeases;
import io.jacinthquay.controller.adapter.thrift.ThriftUsageStore;
import io.jacinthquay.controller.port.Leases;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.controller.port.Ticker;
import io.jacinthquay.controller.port.UsageStore;
import io.jacinthquay.controller.service.LeaseHolder;
import io.jacinthquay.controller.service.LeaseTimes;
import io.jacinthquay.controller.service.UsageReporter;
import io.jacinthquay.controller.service.UsageReporting;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.model.UsageWindow;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.http.JsonHttpClient;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperClient;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs one controller.
 *
 * <pre>{@code
 * Service controller = new ControllerService(settings);
 * controller.start();
 * }</pre>
 *
 * <p>Several controllers may run; the leases decide which of them acts.
 */
public final class ControllerService implements Service {
  private static final Logger log = LogManager.getLogger();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final long STEP_MILLIS = 500;
  private static final int STOP_SECONDS = 5;

  private final ControllerSettings settings;
  private final String owner;
  private final JsonHttpClient http = new JsonHttpClient("platform");
  private final ScheduledExecutorService worker =
      Executors.newSingleThreadScheduledExecutor(ControllerService::newThread);
  private KeeperClient keepers;
  private UsageReporting reporting;
  private ScheduledFuture<?> steps;

  /** Returns a controller that is not started. */
  public ControllerService(ControllerSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.owner = settings.name() + "/" + UUID.randomUUID();
  }

  @Override
  public void start() {
    http.start();
    keepers = new KeeperClient(settings.keepers(), identity(), CALL_TIMEOUT);
    reporting = newReporting();
    steps =
        worker.scheduleWithFixedDelay(this::step, STEP_MILLIS, STEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  private TlsIdentity identity() {
    try {
      return TlsIdentity.load(settings.tlsFolder());
    } catch (IOException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }

  private UsageReporting newReporting() {
    Leases leases = new ThriftLeases(keepers);
    UsageStore store = new ThriftUsageStore(keepers);
    Platform platform = new HttpPlatform(settings.platform(), http);
    UsageReporter.ReportTimes times =
        new UsageReporter.ReportTimes(
            Duration.ofMillis(UsageWindow.LENGTH_MILLIS),
            Duration.ofMillis(settings.watermarkMillis()),
            CALL_TIMEOUT);
    List<UsageReporter> reporters = new ArrayList<>();
    for (int shard = 0; shard < UsageWindow.SHARDS; shard++) {
      LeaseName name = new LeaseName("usage/" + shard);
      LeaseHolder holder = new LeaseHolder(name, owner, leases, Ticker.SYSTEM, LeaseTimes.DEFAULT);
      reporters.add(new UsageReporter(shard, holder, store, platform, Ticker.SYSTEM, times));
    }
    return new UsageReporting(store, reporters);
  }

  private void step() {
    try {
      reporting.step();
    } catch (RuntimeException e) {
      log.error("a step failed", e);
    }
  }

  @Override
  public void stop() {
    if (steps == null) {
      return;
    }
    steps.cancel(false);
    worker.shutdown();
    try {
      if (worker.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
        reporting.release();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    keepers.close();
    http.stop();
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "controller");
    thread.setDaemon(true);
    return thread;
  }
}
