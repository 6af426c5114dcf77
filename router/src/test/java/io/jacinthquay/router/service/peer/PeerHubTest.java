package io.jacinthquay.router.service.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.membership.Member;
import io.jacinthquay.decision.membership.MemberLoad;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.router.service.config.WithdrawnKeys;
import io.jacinthquay.router.service.dispatch.AdmissionDispatcher;
import io.jacinthquay.router.service.report.UsageCounters;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

final class PeerHubTest {
  private static final DomainId DOMAIN = new DomainId("a");
  private static final VmId SELF = new VmId("entry-0");
  private static final VmId OTHER = new VmId("entry-1");

  private final List<DomainView> views = new CopyOnWriteArrayList<>();
  private final MembershipService membership =
      new MembershipService(
          Member.alive(SELF, DOMAIN, "127.0.0.1:1", 1),
          PeerMessenger.NONE,
          (domain, view) -> views.add(view),
          () -> MemberLoad.NONE,
          1);
  private final PeerHub hub =
      new PeerHub(
          SELF,
          PeerMessenger.NONE,
          membership,
          new AdmissionDispatcher(SELF, 1, DOMAIN, name -> Optional.empty(), (to, m) -> {}, 1),
          new UsageCounters("entry-0/1", 1_000, () -> 0),
          counts -> Either.right(null),
          new WithdrawnKeys(),
          List.of(),
          1);

  /** Before the platform's list, a view would name this router as the only one. */
  @Test
  void startReportsNoViewBeforeThePlatformList() {
    hub.start();
    hub.updateVms(List.of(entry(SELF), entry(OTHER)));
    hub.stop();
    assertEquals(Set.of(SELF, OTHER), new HashSet<>(views.get(0).members()));
  }

  private static VmEntry entry(VmId vm) {
    return new VmEntry(
        new UpstreamId(vm.value()),
        DOMAIN,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        VmEntry.Kind.ENTRY,
        Optional.empty(),
        false,
        false,
        List.of(),
        1);
  }
}
