package io.jacinthquay.router.service.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.placement.PlacementSettings;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.router.port.VmEntry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link PoolTables}. */
class PoolTablesTest {
  private static final DomainId DOMAIN = new DomainId("a");
  private static final PoolName POOL = new PoolName("pool");

  /** Guards against slot owners that wait for load reports of plain services, which send none. */
  @ParameterizedTest
  @CsvSource({"ENGINE, true", "PLAIN, false"})
  void marksOnlyEnginesAsReportingLoad(VmEntry.Kind kind, boolean reportsLoad) {
    PoolTables tables = new PoolTables(new VmId("entry-1"), DOMAIN, PlacementSettings.defaults());
    tables.update(List.of(upstream(kind)), Policy.empty(), 0);
    List<UpstreamSpec> specs = tables.specs(Policy.empty(), 0).get(new SlotScope(POOL, DOMAIN));
    assertEquals(List.of(reportsLoad), specs.stream().map(UpstreamSpec::reportsLoad).toList());
  }

  private static VmEntry upstream(VmEntry.Kind kind) {
    return new VmEntry(
        new UpstreamId("upstream-1"),
        DOMAIN,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        kind,
        Optional.of(POOL),
        false,
        false,
        List.of(),
        4);
  }
}
