package io.jacinthquay.consensus;

import java.util.Comparator;
import java.util.Objects;

/**
 * One data folder of a member. The incarnation is drawn at random when the folder is created, so a
 * wiped disk comes back as another replica and can't vote or acknowledge as the old one.
 *
 * @param member the member
 * @param incarnation the identity of the data folder, or {@link #ANY_INCARNATION} as the target of
 *     a message to whichever replica the member runs now
 */
public record ReplicaId(MemberId member, long incarnation) implements Comparable<ReplicaId> {
  /** Stands for whichever incarnation receives the message. */
  public static final long ANY_INCARNATION = 0;

  private static final Comparator<ReplicaId> ORDER =
      Comparator.comparing(ReplicaId::member).thenComparingLong(ReplicaId::incarnation);

  /** Checks that the member is present. */
  public ReplicaId {
    Objects.requireNonNull(member, "member");
  }

  /**
   * Addresses whichever replica the member runs now.
   *
   * @param member the member
   * @return the wildcard replica
   */
  public static ReplicaId any(MemberId member) {
    return new ReplicaId(member, ANY_INCARNATION);
  }

  @Override
  public int compareTo(ReplicaId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return member + "#" + Long.toHexString(incarnation);
  }
}
