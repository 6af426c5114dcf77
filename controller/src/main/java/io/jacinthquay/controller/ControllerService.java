package io.jacinthquay.controller;

import io.jacinthquay.controller.adapter.http.HttpPlatform;
import io.jacinthquay.controller.adapter.thrift.ThriftLeaseStore;
import io.jacinthquay.controller.adapter.thrift.ThriftUsageStore;
import io.jacinthquay.controller.port.LeaseStore;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.controller.port.Ticker;
import io.jacinthquay.controller.port.UsageStore;
import io.jacinthquay.controller.service.LeaseHolder;
import io.jacinthquay.controller.service.LeaseOptions;
import io.jacinthquay.controller.service.UsageReportJob;
import io.jacinthquay.controller.service.UsageReporter;
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
 * <p>Several controllers may run at the same time; only the holder of a lease acts.
 */
public final class ControllerService implements Service {
  private static final Logger log = LogManager.getLogger();
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final long RUN_INTERVAL_MILLIS = 500;
  private static final int STOP_TIMEOUT_SECONDS = 5;

  private final ControllerSettings settings;
  private final String owner;
  private final JsonHttpClient http = new JsonHttpClient("platform");
  private final ScheduledExecutorService worker =
      Executors.newSingleThreadScheduledExecutor(ControllerService::newThread);
  private KeeperClient keepers;
  private UsageReportJob usageReports;
  private ScheduledFuture<?> schedule;

  /** Returns a controller that has not been started. */
  public ControllerService(ControllerSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.owner = settings.name() + "/" + UUID.randomUUID();
  }

  @Override
  public void start() {
    http.start();
    keepers = new KeeperClient(settings.keepers(), identity(), CALL_TIMEOUT);
    usageReports = newUsageReports();
    schedule =
        worker.scheduleWithFixedDelay(
            this::runOnce, RUN_INTERVAL_MILLIS, RUN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private TlsIdentity identity() {
    try {
      return TlsIdentity.load(settings.tlsFolder());
    } catch (IOException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }

  private UsageReportJob newUsageReports() {
    LeaseStore leases = new ThriftLeaseStore(keepers);
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
      LeaseHolder holder =
          new LeaseHolder(name, owner, leases, Ticker.SYSTEM, LeaseOptions.DEFAULT);
      reporters.add(new UsageReporter(shard, holder, store, platform, Ticker.SYSTEM, times));
    }
    return new UsageReportJob(store, reporters);
  }

  private void runOnce() {
    try {
      usageReports.runOnce();
    } catch (RuntimeException e) {
      log.error("usage reporting failed; it runs again after the interval", e);
    }
  }

  @Override
  public void stop() {
    if (schedule == null) {
      return;
    }
    schedule.cancel(false);
    worker.shutdown();
    try {
      if (worker.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        usageReports.release();
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
