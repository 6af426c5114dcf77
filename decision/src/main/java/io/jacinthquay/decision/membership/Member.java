package io.jacinthquay.decision.membership;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A report about one member.
 *
 * @param id its VM
 * @param domain its failure domain
 * @param address the address at which it is reached, such as {@code 10.0.0.7:7400}
 * @param incarnation a number that increases with each start and each refuted suspicion, 0 or more
 * @param state its state
 * @param leaving whether it takes on no new work because it is about to stop
 */
public record Member(
    VmId id,
    DomainId domain,
    String address,
    long incarnation,
    MemberState state,
    boolean leaving) {
  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if {@code incarnation} is negative
   * @throws NullPointerException if a component is null
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

  /** Returns a report that a member is alive. */
  public static Member alive(VmId id, DomainId domain, String address, long incarnation) {
    return new Member(id, domain, address, incarnation, MemberState.ALIVE, false);
  }

  /** Returns a copy of this report with another state. */
  public Member withState(MemberState newState) {
    return new Member(id, domain, address, incarnation, newState, leaving);
  }

  /** Returns a report that this member is alive in another incarnation. */
  public Member withIncarnation(long newIncarnation, boolean newLeaving) {
    return new Member(id, domain, address, newIncarnation, MemberState.ALIVE, newLeaving);
  }

  /** Returns whether this report replaces another one about the same member. */
  public boolean replaces(Member previous) {
    if (incarnation != previous.incarnation) {
      return incarnation > previous.incarnation;
    }
    return state.compareTo(previous.state) > 0;
  }
}
