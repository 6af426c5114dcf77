package io.jacinthquay.decision.slots;

import io.jacinthquay.model.UpstreamId;
import java.util.Map;

/**
 * What an owner knows of its scope.
 *
 * @param waiting requests that wait, of all routers
 * @param used slots in use
 * @param idle slots granted ahead and not in use
 * @param sessions routers in session
 * @param voters routers that vouch for a share
 * @param upstreams the state of each upstream
 * @param counts what was decided since the start
 */
public record OwnerStatus(
    int waiting,
    int used,
    int idle,
    int sessions,
    int voters,
    Map<UpstreamId, UpstreamStatus> upstreams,
    Counts counts) {
  /**
   * The state of one upstream.
   *
   * @param limit requests at a time that it is held to bear
   * @param usable how much of the limit this owner may grant
   * @param granted slots granted, used or not
   * @param foreign requests of routers that are not in session
   * @param warming whether the limit still starts up
   */
  public record UpstreamStatus(int limit, int usable, int granted, int foreign, boolean warming) {}

  /**
   * What was decided since the start.
   *
   * @param granted slots granted by order
   * @param floors slots granted by a floor
   * @param ahead slots granted ahead of demand
   * @param shed requests shed
   * @param preempted slots preempted
   * @param wastedTokens tokens that preempted work had spent
   */
  public record Counts(
      long granted, long floors, long ahead, long shed, long preempted, long wastedTokens) {}
}
