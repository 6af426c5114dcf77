package io.jacinthquay.router.service.request;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.vavr.control.Either;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Tracks the requests in progress, so that they can be ended when their key is withdrawn. */
public final class ActiveRequests {
  private final Set<RequestRun> runs = ConcurrentHashMap.newKeySet();
  private final AtomicInteger totalCount = new AtomicInteger();
  private final Map<CustomerId, AtomicInteger> countByCustomer = new ConcurrentHashMap<>();

  /**
   * Returns the number of requests in progress, including those waiting for an idempotency claim.
   */
  public int count() {
    return totalCount.get();
  }

  /**
   * Counts a new request of a customer, unless the customer has reached its limit.
   *
   * @param limit the largest number of requests of the customer in progress at once
   * @return false if the customer has reached its limit
   */
  boolean tryEnter(CustomerId customer, int limit) {
    AtomicInteger count = countByCustomer.computeIfAbsent(customer, c -> new AtomicInteger());
    if (count.incrementAndGet() <= limit) {
      totalCount.incrementAndGet();
      return true;
    }
    count.decrementAndGet();
    return false;
  }

  void leave(CustomerId customer) {
    countByCustomer.get(customer).decrementAndGet();
    totalCount.decrementAndGet();
  }

  void add(RequestRun run) {
    runs.add(run);
  }

  void remove(RequestRun run) {
    runs.remove(run);
  }

  /**
   * Ends every request whose key is no longer valid.
   *
   * @param check returns the owner of a key, or why the key is not valid
   */
  public void recheckKeys(Function<KeyDigest, Either<Failure, ?>> check) {
    for (RequestRun run : runs) {
      run.key()
          .map(check)
          .filter(Either::isLeft)
          .ifPresent(refusal -> run.endForInvalidKey(refusal.getLeft()));
    }
  }

  /** Ends every request with a failure, when the time limit of a graceful shutdown is reached. */
  public void endAll(Failure failure) {
    runs.forEach(run -> run.endFromAnyThread(failure));
  }
}
