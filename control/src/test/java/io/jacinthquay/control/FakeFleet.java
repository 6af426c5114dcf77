package io.jacinthquay.control;

import io.jacinthquay.control.port.Fence;
import io.jacinthquay.control.port.Fleet;
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

/** A platform that takes every call and remembers it. */
public final class FakeFleet implements Fleet {
  /** A usage report as it was taken. */
  public record Report(long fence, long window, Map<CustomerId, Long> counts) {}

  private final List<Report> reports = new ArrayList<>();
  private final Set<Long> refused = new HashSet<>();
  private Either<Failure, Void> answer = Either.right(null);

  /** Refuses each report of a window. */
  public synchronized void refuse(long window) {
    refused.add(window);
  }

  /** Answers every later call like this. */
  public synchronized void answer(Either<Failure, Void> next) {
    answer = next;
  }

  /** Returns the reports so far. */
  public synchronized List<Report> reports() {
    return List.copyOf(reports);
  }

  @Override
  public Either<Failure, List<UpstreamListing>> list() {
    return Either.right(List.of());
  }

  @Override
  public synchronized Either<Failure, Void> report(
      Fence fence, long window, Map<CustomerId, Long> counts) {
    reports.add(new Report(fence.number(), window, Map.copyOf(counts)));
    return refused.contains(window)
        ? Either.left(Failure.of(ResultCode.UPSTREAM_REFUSED, "refused"))
        : answer;
  }

  @Override
  public synchronized Either<Failure, Void> order(Fence fence, UpstreamOrder order) {
    return answer;
  }
}
