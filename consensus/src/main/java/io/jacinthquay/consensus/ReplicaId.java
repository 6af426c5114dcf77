package io.jacinthquay.consensus;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies one data folder of a member. The incarnation is chosen at random when the folder is
 * created, so a member whose disk was erased becomes another replica and can't vote or acknowledge
 * entries as the previous one.
 *
 * @param member the member
 * @param incarnation the identity of the data folder, or {@link #ANY_INCARNATION} as the target of
 *     a message to the current replica of the member
 */
public record ReplicaId(MemberId member, long incarnation) implements Comparable<ReplicaId> {
  /** Wildcard for the incarnation that receives the message. */
  public static final long ANY_INCARNATION = 0;

  private static final Comparator<ReplicaId> ORDER =
      Comparator.comparing(ReplicaId::member).thenComparingLong(ReplicaId::incarnation);

  /** Checks that the member is present. */
  public ReplicaId {
    Objects.requireNonNull(member, "member");
  }

  /**
   * Returns a wildcard that addresses the current replica of a member.
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
