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

/** The requests in progress, so that they can be ended when their key is withdrawn. */
public final class ActiveRequests {
  private final Set<RequestRun> runs = ConcurrentHashMap.newKeySet();
  private final AtomicInteger total = new AtomicInteger();
  private final Map<CustomerId, AtomicInteger> perCustomer = new ConcurrentHashMap<>();

  /** Returns the number of requests in progress, those that wait for a claim included. */
  public int count() {
    return total.get();
  }

  /**
   * Counts one more request of a customer.
   *
   * @return false if the customer has as many as it may
   */
  boolean enter(CustomerId customer, int most) {
    AtomicInteger count = perCustomer.computeIfAbsent(customer, c -> new AtomicInteger());
    if (count.incrementAndGet() <= most) {
      total.incrementAndGet();
      return true;
    }
    count.decrementAndGet();
    return false;
  }

  void leave(CustomerId customer) {
    perCustomer.get(customer).decrementAndGet();
    total.decrementAndGet();
  }

  void add(RequestRun run) {
    runs.add(run);
  }

  void remove(RequestRun run) {
    runs.remove(run);
  }

  /**
   * Ends every request whose key may no longer be used.
   *
   * @param check tells whom a key belongs to, or why it may not be used
   */
  public void recheckKeys(Function<KeyDigest, Either<Failure, ?>> check) {
    for (RequestRun run : runs) {
      run.key()
          .map(check)
          .filter(Either::isLeft)
          .ifPresent(refusal -> run.endForKey(refusal.getLeft()));
    }
  }

  /** Ends every request, because the time for a graceful stop is over. */
  public void endAll(Failure failure) {
    runs.forEach(run -> run.endFromOutside(failure));
  }
}
