package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class DiskRotationTest {
  private static final DocumentConvergence.Limits SHORT =
      new DocumentConvergence.Limits(
          Duration.ZERO, Duration.ofMillis(50), Duration.ofMillis(50), Duration.ofMillis(200));

  private enum Defect {
    NONE,
    /** Once a disk was full, no change is acknowledged. */
    CHANGES_STOP,
    /** The last control VM whose disk was full stays behind. */
    STAYS_BEHIND,
    /** One control VM doesn't answer any more. */
    SILENT
  }

  /** Two control VMs and an operator that show a defect. */
  private static final class Group implements DiskRotation.Controls, DocumentConvergence.Operator {
    private final Defect defect;
    private long version;
    private int full;
    private int mostFull;
    private int filled;

    Group(Defect defect) {
      this.defect = defect;
    }

    @Override
    public int count() {
      return 2;
    }

    @Override
    public void rejectWrites(int control, boolean rejected) {
      full += rejected ? 1 : -1;
      filled += rejected ? 1 : 0;
      mostFull = Math.max(mostFull, full);
    }

    @Override
    public OptionalLong readVersion(int control) {
      if (control == 1 && defect == Defect.SILENT) {
        return OptionalLong.empty();
      }
      return OptionalLong.of(control == 1 && defect == Defect.STAYS_BEHIND ? version - 1 : version);
    }

    @Override
    public boolean changeDocument(BooleanSupplier keepTrying) {
      version++;
      return defect != Defect.CHANGES_STOP;
    }

    @Override
    public long version() {
      return version;
    }

    @Override
    public OptionalLong readVersion() {
      return readVersion(0);
    }
  }

  @ParameterizedTest
  @CsvSource({"NONE, 0", "CHANGES_STOP, 1", "STAYS_BEHIND, 1", "SILENT, 1"})
  void defectIsReported(Defect defect, int violations) throws Exception {
    Group group = new Group(defect);
    Verdict verdict = new DiskRotation(group, group, new SplittableRandom(1), SHORT).judge();
    assertEquals(violations, verdict.violations().size());
    assertEquals(2, group.filled);
    assertEquals(1, group.mostFull);
    assertTrue(group.version > 2);
  }
}
