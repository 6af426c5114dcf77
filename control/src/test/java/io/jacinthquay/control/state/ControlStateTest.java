package io.jacinthquay.control.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
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

  /** Two operators race, resend and come late: the highest number stays, with its first content. */
  @ParameterizedTest
  @CsvSource({"'1,2,3', 3", "'3,2,1', 3", "'2,2', 2", "'7,3,7', 7", "'0', 0"})
  void keepTheHighestDocument(String versions, long expected) {
    for (String version : versions.split(",")) {
      apply(ControlState.document(Long.parseLong(version), content(Long.parseLong(version))));
    }
    apply(ControlState.document(expected, new byte[] {9}));
    assertEquals(expected, state.tables().version());
    assertArrayEquals(content(expected), state.tables().document().orElseThrow());
  }

  @Test
  void numberTheClosedDomainsByTheLog() {
    apply(ControlState.domain("a", true));
    apply(ControlState.domain("a", true));
    assertEquals(1, state.tables().closedIndex());
    apply(ControlState.domain("a", false));
    assertEquals(3, state.tables().closedIndex());
    assertEquals(0, state.tables().closedDomains().size());
  }

  @Test
  void neverChangeSealedCounts() {
    apply(ControlState.seal(10, Map.of("a", 5L)));
    apply(ControlState.seal(10, Map.of("a", 6L)));
    assertEquals(5L, state.tables().sealed().get(10L).get().get("a").get());
  }

  /** Counts of a window that is older than all that are kept could have been sealed before. */
  @Test
  void sealNoWindowOlderThanThoseKept() {
    for (long window = 0; window < 40; window++) {
      apply(ControlState.seal(window, Map.of("a", window)));
    }
    apply(ControlState.seal(1, Map.of("a", 99L)));
    assertEquals(false, state.tables().sealed().containsKey(1L));
    assertEquals(39L, state.tables().sealed().get(39L).get().get("a").get());
  }

  @Test
  void comeBackFromASnapshot() throws IOException {
    apply(ControlState.document(4, content(4)));
    apply(ControlState.domain("b", true));
    apply(ControlState.seal(10, Map.of("a", 5L, "b", 0L)));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    state.snapshot().writeTo(out);
    ControlState other = new ControlState();
    other.restore(index, new ByteArrayInputStream(out.toByteArray()));
    assertEquals(4, other.tables().version());
    assertArrayEquals(content(4), other.tables().document().orElseThrow());
    assertEquals(state.tables().closedDomains(), other.tables().closedDomains());
    assertEquals(state.tables().closedIndex(), other.tables().closedIndex());
    assertEquals(state.tables().sealed(), other.tables().sealed());
  }

  @Test
  void refuseWhatIsNoCommand() {
    assertThrows(IllegalStateException.class, () -> state.apply(1, new byte[] {77, 66}));
  }
}
