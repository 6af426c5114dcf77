package io.jacinthquay.control.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ControlStateTest {
  private final ControlState state = new ControlState();
  private long index;

  private void apply(byte[] command) {
    byte[] unused = state.apply(++index, command);
  }

  private static byte[] content(long version) {
    return new byte[] {(byte) version, 1, 2};
  }

  /**
   * Documents of racing operators arrive out of order and twice: the highest version stays, with
   * its first content.
   */
  @ParameterizedTest
  @CsvSource({"'1,2,3', 3", "'3,2,1', 3", "'2,2', 2", "'7,3,7', 7", "'0', 0"})
  void keepsHighestDocumentVersion(String versions, long expected) {
    for (String version : versions.split(",")) {
      apply(
          ControlState.documentCommand(Long.parseLong(version), content(Long.parseLong(version))));
    }
    apply(ControlState.documentCommand(expected, new byte[] {9}));
    assertEquals(expected, state.tables().version());
    assertArrayEquals(content(expected), state.tables().document().orElseThrow());
  }

  @Test
  void closedDomainsIndexIsTheLogIndexOfTheLastChange() {
    apply(ControlState.closeDomainCommand("a", true));
    apply(ControlState.closeDomainCommand("a", true));
    assertEquals(1, state.tables().closedDomainsIndex());
    apply(ControlState.closeDomainCommand("a", false));
    assertEquals(3, state.tables().closedDomainsIndex());
    assertEquals(0, state.tables().closedDomains().size());
  }

  @Test
  void neverChangesSealedCounts() {
    apply(ControlState.sealCommand(10, Map.of("a", 5L)));
    apply(ControlState.sealCommand(10, Map.of("a", 6L)));
    assertEquals(5L, state.tables().sealedCounts().get(10L).get().get("a").get());
  }

  /** A window older than all kept windows may have been sealed before with other counts. */
  @Test
  void sealsNoWindowOlderThanKeptWindows() {
    for (long window = 0; window < 40; window++) {
      apply(ControlState.sealCommand(window, Map.of("a", window)));
    }
    apply(ControlState.sealCommand(1, Map.of("a", 99L)));
    assertEquals(false, state.tables().sealedCounts().containsKey(1L));
    assertEquals(39L, state.tables().sealedCounts().get(39L).get().get("a").get());
  }

  @Test
  void snapshotRestoresAllTables() throws IOException {
    apply(ControlState.documentCommand(4, content(4)));
    apply(ControlState.closeDomainCommand("b", true));
    apply(ControlState.sealCommand(10, Map.of("a", 5L, "b", 0L)));
    apply(ControlState.quarantineCommand(new QuarantinedPart(new PartId(-1), 5, 6, 7)));
    for (int change = 0; change < 2 * PoolVersions.MAX_SETS; change++) {
      apply(ControlState.poolVersionsCommand("p", List.of("v1", "v" + change % 2), change));
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    state.snapshot().writeTo(out);
    ControlState restored = new ControlState();
    restored.restore(index, new ByteArrayInputStream(out.toByteArray()));
    assertEquals(4, restored.tables().version());
    assertArrayEquals(content(4), restored.tables().document().orElseThrow());
    assertEquals(state.tables().closedDomains(), restored.tables().closedDomains());
    assertEquals(state.tables().closedDomainsIndex(), restored.tables().closedDomainsIndex());
    assertEquals(state.tables().sealedCounts(), restored.tables().sealedCounts());
    assertEquals(state.tables().quarantine(), restored.tables().quarantine());
    assertEquals(PoolVersions.MAX_SETS, state.tables().poolVersions().sets("p").size());
    assertEquals(state.tables().poolVersions(), restored.tables().poolVersions());
  }

  /** A version whose set is joined with a later one still counts. */
  @Test
  void versionsOfAPoolAreBoundedWithoutForgettingAny() {
    apply(ControlState.poolVersionsCommand("p", List.of("first"), 5));
    for (int change = 0; change < 3 * PoolVersions.MAX_SETS; change++) {
      apply(ControlState.poolVersionsCommand("p", List.of("v" + change % 3), 6 + change));
    }
    PoolVersions.Since oldest = state.tables().poolVersions().sets("p").head();
    assertEquals(List.of("first", "v0", "v1", "v2"), oldest.versions().toJavaList());
    assertEquals(5, oldest.sinceMillis());
    assertEquals(PoolVersions.MAX_SETS, state.tables().poolVersions().sets("p").size());
  }

  private List<Long> quarantined() {
    return state.tables().quarantine().entries().stream()
        .map(entry -> entry.part().value())
        .toList();
  }

  private void quarantine(long part, long sinceMillis, long retryAtMillis) {
    apply(
        ControlState.quarantineCommand(
            new QuarantinedPart(new PartId(part), sinceMillis, retryAtMillis, 0)));
  }

  @Test
  void releasedPartIsNoLongerQuarantined() {
    quarantine(1, 0, 100);
    quarantine(2, 0, 100);
    apply(ControlState.releaseCommand(new PartId(1)));
    apply(ControlState.releaseCommand(new PartId(1)));
    assertEquals(List.of(2L), quarantined());
    assertEquals(3, state.tables().quarantine().index());
  }

  /** A flood of newly confirmed parts must not end the quarantine of the others. */
  @Test
  void fullQuarantineKeepsItsPartsUntilATrialIsOverdue() {
    for (int part = 0; part < QuarantineTable.MAX_PARTS; part++) {
      quarantine(part, 0, 1_000 + part);
    }
    quarantine(9_999, 900, 2_000);
    assertEquals(false, quarantined().contains(9_999L));
    quarantine(5, 900, 5_000);
    quarantine(9_999, 1_500, 2_500);
    assertEquals(true, quarantined().contains(9_999L));
    assertEquals(false, quarantined().contains(0L));
    assertEquals(QuarantineTable.MAX_PARTS, quarantined().size());
  }

  @Test
  void rejectsBytesThatAreNoCommand() {
    assertThrows(IllegalStateException.class, () -> state.apply(1, new byte[] {77, 66}));
  }
}
