package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A member's load as it is broadcast by gossip.
 *
 * @param id the member
 * @param incarnation the member's incarnation
 * @param version sequence number of the reading within the incarnation
 * @param ageMillis age of the reading when the message is sent, in milliseconds, 0 or more
 * @param load the load
 */
public record LoadUpdate(VmId id, long incarnation, long version, long ageMillis, MemberLoad load) {
  /**
   * Checks that no component is null.
   *
   * @throws NullPointerException if a component is null
   */
  public LoadUpdate {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(load, "load");
  }

  /** Returns whether this update replaces another one of the same member, which may be null. */
  boolean replaces(LoadUpdate previous) {
    if (previous == null || incarnation != previous.incarnation) {
      return previous == null || incarnation > previous.incarnation;
    }
    return version > previous.version;
  }

  LoadUpdate withAge(long newAgeMillis) {
    return new LoadUpdate(id, incarnation, version, newAgeMillis, load);
  }
}
