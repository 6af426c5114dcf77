package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.placement.Dispatch;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.port.VmEntry;
import java.net.InetSocketAddress;

/**
 * A grant with its entries in the upstream tables. The token counts are confined to the request's
 * thread.
 */
final class PlacedGrant implements Grant {
  /** Number of tokens that are collected before the tables are updated. */
  private static final int TOKENS_PER_UPDATE = 16;

  private final DispatchRequest request;
  private final VmEntry entry;
  private final PoolTables.Pool pool;
  private final Dispatch dispatch;
  private int pendingTokens;
  private long totalTokens;

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

  /** Adds tokens and returns how many to add to the tables now, or 0 if the batch is not full. */
  int addTokens(int count) {
    pendingTokens += count;
    totalTokens += count;
    if (pendingTokens < TOKENS_PER_UPDATE) {
      return 0;
    }
    int batch = pendingTokens;
    pendingTokens = 0;
    return batch;
  }

  /** Returns the number of output tokens of this attempt so far. */
  long totalTokens() {
    return totalTokens;
  }
}
