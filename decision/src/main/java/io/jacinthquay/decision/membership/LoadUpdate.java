package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A member's load as gossip passes it on.
 *
 * @param id the member
 * @param incarnation the member's incarnation
 * @param version counts the member's readings within the incarnation
 * @param ageMillis how old the reading is when the message is sent, in milliseconds, 0 or more
 * @param load the reading
 */
public record LoadUpdate(VmId id, long incarnation, long version, long ageMillis, MemberLoad load) {
  /**
   * Checks that the parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public LoadUpdate {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(load, "load");
  }

  /** Returns whether this reading replaces {@code known}, which may be null. */
  boolean replaces(LoadUpdate known) {
    if (known == null || incarnation != known.incarnation) {
      return known == null || incarnation > known.incarnation;
    }
    return version > known.version;
  }

  LoadUpdate aged(long newAgeMillis) {
    return new LoadUpdate(id, incarnation, version, newAgeMillis, load);
  }
}
