package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import java.util.Optional;

/** What a router knows of a pool besides its own queue. */
public interface PoolView {
  /** Returns the name of the pool. */
  PoolName pool();

  /** Returns how fast all upstreams of the pool take work. */
  DrainRate drain(long now);

  /**
   * Returns the expected time from a send to the first token, or to the answer of a plain service,
   * in milliseconds; the request's own prompt is left out.
   */
  double firstMillis(long now);

  /** Returns the work of one tier that waits at other routers; none if that isn't known. */
  WaitingWork waitingElsewhere(int tier, long now);

  /**
   * Returns the age of what the other routers reported, in milliseconds; -1 if that isn't known.
   */
  long ageMillis(long now);

  /** Returns the number of routers, 1 or more. */
  int routers();

  /** Returns how far a customer is ahead of the others, see {@link ServedTokens#level}. */
  int servedLevel(Optional<CustomerId> customer);
}
