package io.jacinthquay.decision.membership;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * What is said of one member.
 *
 * @param id its VM
 * @param domain its failure domain
 * @param address where it is reached, such as {@code 10.0.0.7:7400}
 * @param incarnation counts up with each start and each refuted suspicion, 0 or more
 * @param state its life
 * @param leaving whether it takes no new duties because it is about to end
 */
public record Member(
    VmId id,
    DomainId domain,
    String address,
    long incarnation,
    MemberState state,
    boolean leaving) {
  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException if {@code incarnation} is negative
   * @throws NullPointerException if a part is missing
   */
  public Member {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(state, "state");
    if (incarnation < 0) {
      throw new IllegalArgumentException("incarnation must not be negative");
    }
  }

  /** Returns a living member. */
  public static Member alive(VmId id, DomainId domain, String address, long incarnation) {
    return new Member(id, domain, address, incarnation, MemberState.ALIVE, false);
  }

  /** Returns the same member in another state. */
  public Member in(MemberState other) {
    return new Member(id, domain, address, incarnation, other, leaving);
  }

  /** Returns a living member with another incarnation. */
  public Member aliveAgain(long newIncarnation, boolean nowLeaving) {
    return new Member(id, domain, address, newIncarnation, MemberState.ALIVE, nowLeaving);
  }

  /** Returns whether this report replaces {@code known}. */
  public boolean replaces(Member known) {
    if (incarnation != known.incarnation) {
      return incarnation > known.incarnation;
    }
    return state.compareTo(known.state) > 0;
  }
}
