package io.jacinthquay.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A group of programs that loses or holds back documents is reported. */
final class DocumentConvergenceTest {
  private static final DocumentConvergence.Limits SHORT =
      new DocumentConvergence.Limits(
          Duration.ZERO, Duration.ofMillis(50), Duration.ofMillis(50), Duration.ofMillis(200));

  private enum Defect {
    NONE,
    /** Changes are not acknowledged. */
    NOT_ACKNOWLEDGED,
    /** One router doesn't apply the newest document. */
    ROUTER_BEHIND,
    /** One router doesn't apply the newest document after a restart. */
    ROUTER_BEHIND_AFTER_RESTART,
    /** The restart of all programs loses the newest document. */
    DOCUMENT_LOST,
    /** The document can't be read after a restart. */
    NOT_READABLE
  }

  /** Two routers and an operator that show a defect. */
  private static final class Group
      implements DocumentConvergence.Programs, DocumentConvergence.Operator {
    private final Defect defect;
    private long version;
    private boolean restarted;

    Group(Defect defect) {
      this.defect = defect;
    }

    private boolean isBehind() {
      return defect == Defect.ROUTER_BEHIND
          || (restarted && defect == Defect.ROUTER_BEHIND_AFTER_RESTART);
    }

    @Override
    public List<Long> versionsInForce() {
      return List.of(version, isBehind() ? version - 1 : version);
    }

    @Override
    public void killAndStart() {
      restarted = true;
    }

    @Override
    public boolean changeDocument(BooleanSupplier keepTrying) {
      version++;
      return defect != Defect.NOT_ACKNOWLEDGED;
    }

    @Override
    public long version() {
      return version;
    }

    @Override
    public OptionalLong readVersion() {
      if (defect == Defect.NOT_READABLE) {
        return OptionalLong.empty();
      }
      return OptionalLong.of(defect == Defect.DOCUMENT_LOST ? version - 1 : version);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "NONE, 0, 0",
    "NOT_ACKNOWLEDGED, 1, 1",
    "ROUTER_BEHIND, 1, 1",
    "ROUTER_BEHIND_AFTER_RESTART, 0, 1",
    "DOCUMENT_LOST, 0, 1",
    "NOT_READABLE, 0, 1"
  })
  void defectIsReported(Defect defect, int brokenInCalm, int brokenAfterRestart) throws Exception {
    Group group = new Group(defect);
    DocumentConvergence convergence =
        new DocumentConvergence(group, group, new SplittableRandom(1), SHORT);
    assertEquals(brokenInCalm, convergence.judgeCalm().violations().size());
    assertEquals(brokenAfterRestart, convergence.judgeRestart().violations().size());
  }
}
