package io.jacinthquay.control;

import io.jacinthquay.control.port.Fleet;
import io.jacinthquay.control.port.LeaderLease;
import io.jacinthquay.control.port.UpstreamOrder;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A fake platform that records usage reports and returns a chosen result from every call. */
public final class FakeFleet implements Fleet {
  /** A usage report that was received. */
  public record Report(long fencingToken, long window, Map<CustomerId, Long> counts) {}

  private final List<Report> reports = new ArrayList<>();
  private final Set<Long> rejectedWindows = new HashSet<>();
  private Either<Failure, Void> result = Either.right(null);

  /** Rejects every report of a window. */
  public synchronized void rejectWindow(long window) {
    rejectedWindows.add(window);
  }

  /** Sets the result of every later call. */
  public synchronized void setResult(Either<Failure, Void> newResult) {
    result = newResult;
  }

  /** Returns the reports that were received so far. */
  public synchronized List<Report> reports() {
    return List.copyOf(reports);
  }

  @Override
  public Either<Failure, List<UpstreamListing>> listUpstreams() {
    return Either.right(List.of());
  }

  @Override
  public synchronized Either<Failure, Void> reportUsage(
      LeaderLease lease, long window, Map<CustomerId, Long> counts) {
    reports.add(new Report(lease.fencingToken(), window, Map.copyOf(counts)));
    return rejectedWindows.contains(window)
        ? Either.left(Failure.of(ResultCode.UPSTREAM_REFUSED, "refused"))
        : result;
  }

  @Override
  public synchronized Either<Failure, Void> orderUpstreams(LeaderLease lease, UpstreamOrder order) {
    return result;
  }
}
