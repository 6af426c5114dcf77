package io.jacinthquay.decision.slots;

import io.jacinthquay.model.UpstreamId;
import java.util.Map;

/**
 * The state of a scope as its owner knows it.
 *
 * @param waiting number of waiting requests of all routers
 * @param used number of slots in use
 * @param idle number of granted slots that are not in use
 * @param sessions number of routers in session
 * @param members number of routers that contribute a share
 * @param upstreams the state of each upstream
 * @param counts decisions since the start
 */
public record OwnerStatus(
    int waiting,
    int used,
    int idle,
    int sessions,
    int members,
    Map<UpstreamId, UpstreamStatus> upstreams,
    Counts counts) {
  /**
   * The state of one upstream.
   *
   * @param limit the concurrency limit, in requests
   * @param usable the part of the limit that this owner may grant
   * @param granted slots granted, used or not
   * @param unaccounted upper bound of the requests of routers that are not in session
   * @param warming whether the limit is still in its initial fast growth
   */
  public record UpstreamStatus(
      int limit, int usable, int granted, int unaccounted, boolean warming) {}

  /**
   * Decisions since the start.
   *
   * @param granted slots granted to waiting requests
   * @param floors those of them that were granted by a floor
   * @param ahead slots granted ahead of demand
   * @param shed requests shed
   * @param preempted slots preempted
   * @param wastedTokens tokens that preempted work had used
   */
  public record Counts(
      long granted, long floors, long ahead, long shed, long preempted, long wastedTokens) {}
}
