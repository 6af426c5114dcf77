package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.Platform;
import io.jacinthquay.controller.port.SealedUsageWindow;
import io.jacinthquay.controller.port.Ticker;
import io.jacinthquay.controller.port.UsageStore;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Seals the usage windows of one shard and reports them to the platform.
 *
 * <pre>{@code
 * reporter.sealAndReport(openStarts); // called periodically by one thread
 * }</pre>
 *
 * <p>A window is sealed once the watermark has passed since its end, and is reported until the
 * platform acknowledges it. Nothing is sent unless the lease stays valid for the whole call.
 */
public final class UsageReporter {
  private static final Logger log = LogManager.getLogger();
  private static final int MAX_REPORTS_PER_RUN = 16;

  private final int shard;
  private final LeaseHolder holder;
  private final UsageStore store;
  private final Platform platform;
  private final Ticker ticker;
  private final ReportTimes times;

  /**
   * Returns a reporter.
   *
   * @param shard the customer shard
   * @param holder holds the lease {@code usage/<shard>}
   * @param store the windows in the replicated log
   * @param platform receives the reports
   * @param ticker the clocks of this VM
   * @param times window length, watermark and call timeout
   */
  public UsageReporter(
      int shard,
      LeaseHolder holder,
      UsageStore store,
      Platform platform,
      Ticker ticker,
      ReportTimes times) {
    this.shard = shard;
    this.holder = Objects.requireNonNull(holder, "holder");
    this.store = Objects.requireNonNull(store, "store");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.ticker = Objects.requireNonNull(ticker, "ticker");
    this.times = Objects.requireNonNull(times, "times");
  }

  /** Returns the customer shard. */
  public int shard() {
    return shard;
  }

  /**
   * Acquires or renews the lease, seals the windows that are due and reports sealed windows.
   *
   * @param openStarts the starts of the windows of this shard that have unsealed counts, ascending
   */
  public void sealAndReport(List<Long> openStarts) {
    holder.acquireOrRenew();
    Optional<Lease> lease = holder.lease();
    if (lease.isPresent()) {
      sealDue(lease.get(), openStarts);
      reportSealed(lease.get());
    }
  }

  private void sealDue(Lease lease, List<Long> openStarts) {
    long latestStart =
        ticker.wallMillis() - times.window().toMillis() - times.watermark().toMillis();
    for (long start : openStarts) {
      if (start <= latestStart && holder.isValidFor(lease, times.timeout())) {
        store.seal(shard, start, lease);
      }
    }
  }

  private void reportSealed(Lease lease) {
    List<SealedUsageWindow> windows =
        store.unreported(shard, MAX_REPORTS_PER_RUN).getOrElse(List.of());
    for (SealedUsageWindow window : windows) {
      if (!holder.isValidFor(lease, times.timeout())) {
        return;
      }
      Either<Failure, Void> result =
          platform.sendReport(
              window,
              lease.fencing(),
              times.timeout(),
              () -> holder.isValidFor(lease, times.timeout()));
      if (result.isRight()) {
        store.markReported(window, lease);
        logReported(window);
      } else {
        logFailure(window, result.getLeft());
      }
    }
  }

  /** Releases the lease. */
  public void release() {
    holder.release();
  }

  private static void logReported(SealedUsageWindow window) {
    log.info(
        new StringMapMessage()
            .with("event", "usage.reported")
            .with("shard", window.shard())
            .with("window_start_ms", window.startMillis())
            .with("lines", window.lines().size()));
  }

  private static void logFailure(SealedUsageWindow window, Failure failure) {
    StringMapMessage message =
        new StringMapMessage()
            .with("event", "usage.report_failed")
            .with("shard", window.shard())
            .with("window_start_ms", window.startMillis())
            .with("code", failure.code().number())
            .with("detail", failure.detail());
    if (failure.code() == ResultCode.ORDER_CONFLICT) {
      log.error(message);
    } else {
      log.warn(message);
    }
  }

  /**
   * The timing of usage reports.
   *
   * @param window duration of a window
   * @param watermark how long after its end a window stays open for counts
   * @param timeout limit for one call
   */
  public record ReportTimes(Duration window, Duration watermark, Duration timeout) {
    /**
     * Checks that all parts are present.
     *
     * @throws NullPointerException if a part is missing
     */
    public ReportTimes {
      Objects.requireNonNull(window, "window");
      Objects.requireNonNull(watermark, "watermark");
      Objects.requireNonNull(timeout, "timeout");
    }
  }
}
