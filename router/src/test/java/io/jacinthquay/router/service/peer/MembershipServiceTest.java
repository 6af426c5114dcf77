package io.jacinthquay.router.service.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.membership.Candidate;
import io.jacinthquay.decision.membership.Member;
import io.jacinthquay.decision.membership.MemberLoad;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.PeerMessenger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class MembershipServiceTest {
  private static final DomainId DOMAIN = new DomainId("a");
  private static final VmId SELF = new VmId("entry-0");
  private static final VmId OTHER = new VmId("entry-1");

  private final List<DomainView> views = new ArrayList<>();
  private final MembershipService membership =
      new MembershipService(
          Member.alive(SELF, DOMAIN, "127.0.0.1:1", 1),
          PeerMessenger.NONE,
          (domain, view) -> views.add(view),
          () -> MemberLoad.NONE,
          1);

  /**
   * Three routers start at once, before the platform's list is known. None may consider itself the
   * only router and grant the capacity that all share.
   */
  @Test
  void noViewIsReportedBeforeThePlatformList() {
    membership.tick();
    membership.tick();
    assertEquals(List.of(), views);
  }

  @Test
  void updateReportsTheViewOfAllListedRoutersAtOnce() {
    membership.tick();
    membership.updateCandidates(
        List.of(
            new Candidate(SELF, DOMAIN, "127.0.0.1:1", false),
            new Candidate(OTHER, DOMAIN, "127.0.0.1:2", false)));
    assertEquals(1, views.size());
    assertEquals(Set.of(SELF, OTHER), new HashSet<>(views.get(0).members()));
  }
}
