package io.jacinthquay.wire.convert;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.slo.BurnWindow;
import io.jacinthquay.decision.slo.SloKey;
import io.jacinthquay.decision.slo.SloRecorder;
import io.jacinthquay.decision.slo.SloSample;
import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.decision.slo.Tally;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.wire.gen.SloLine;
import io.jacinthquay.wire.gen.SloReport;
import io.jacinthquay.wire.gen.SloTimes;
import io.jacinthquay.wire.gen.StalenessReport;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.Test;

class SloMessagesTest {
  private static final ClassName QUICK = new ClassName("quick");
  private static final ClassPolicy CLASS_POLICY =
      new ClassPolicy(QUICK, new Tier(0), 350, 41, 0.95, false, 5_000);
  private static final SloKey KEY = new SloKey(QUICK, new CustomerId("atlas"));
  private static final long NOW_MILLIS = 86_400_000;

  private static SloReport report(SloSnapshot snapshot) {
    return SloMessages.toMessage("entry-1", "a", snapshot, new StalenessReport(1, 2, 3, 4, 5));
  }

  @Test
  void keepsCountsAndHistogramsWhenConverted() {
    SloRecorder recorder = new SloRecorder();
    for (int i = 1; i < 1_000; i++) {
      recorder.record(KEY, CLASS_POLICY, new SloSample(true, i * 997L, i * 53L), NOW_MILLIS);
    }
    SloSnapshot sent = recorder.snapshot(NOW_MILLIS);
    SloSnapshot received = SloMessages.fromMessage(report(sent)).get();
    assertEquals(sent.firstToken(QUICK), received.firstToken(QUICK));
    assertEquals(sent.interToken(QUICK), received.interToken(QUICK));
    Tally tally = received.tally(KEY, BurnWindow.THREE_DAYS);
    assertEquals(sent.tally(KEY, BurnWindow.THREE_DAYS), tally);
    assertEquals(999, tally.total());
  }

  @Test
  void rejectsMalformedCounts() {
    SloReport report = report(SloSnapshot.builder().build());
    report.setLines(List.of(new SloLine("quick", "atlas", List.of(1L), List.of())));
    assertTrue(SloMessages.fromMessage(report).isLeft());
    report.setLines(List.of());
    ByteBuffer malformed = ByteBuffer.wrap(new byte[] {1, 2, 3});
    report.setTimes(List.of(new SloTimes("quick", malformed, malformed)));
    assertTrue(SloMessages.fromMessage(report).isLeft());
  }
}
