package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.placement.Dispatch;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.port.VmEntry;
import java.net.InetSocketAddress;

/** A grant with its place in the tables; its token count belongs to the request's thread. */
final class PlacedGrant implements Grant {
  /** Tokens that are gathered before the tables hear of them. */
  private static final int TOKENS_PER_UPDATE = 16;

  private final DispatchRequest request;
  private final VmEntry entry;
  private final PoolTables.Pool pool;
  private final Dispatch dispatch;
  private int gathered;
  private long total;

  PlacedGrant(DispatchRequest request, VmEntry entry, PoolTables.Pool pool, Dispatch dispatch) {
    this.request = request;
    this.entry = entry;
    this.pool = pool;
    this.dispatch = dispatch;
  }

  @Override
  public UpstreamId upstream() {
    return entry.name();
  }

  @Override
  public InetSocketAddress address() {
    return entry.address();
  }

  DispatchRequest request() {
    return request;
  }

  PoolTables.Pool pool() {
    return pool;
  }

  Dispatch dispatch() {
    return dispatch;
  }

  /** Adds tokens and returns how many the tables are to hear of now, 0 for none. */
  int gather(int count) {
    gathered += count;
    total += count;
    if (gathered < TOKENS_PER_UPDATE) {
      return 0;
    }
    int due = gathered;
    gathered = 0;
    return due;
  }

  /** Returns all tokens of this attempt so far. */
  long total() {
    return total;
  }
}
