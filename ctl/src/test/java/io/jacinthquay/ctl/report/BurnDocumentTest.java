package io.jacinthquay.ctl.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.ctl.output.Printer;
import io.jacinthquay.decision.slo.SloKey;
import io.jacinthquay.decision.slo.SloRecorder;
import io.jacinthquay.decision.slo.SloSample;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.wire.gen.StalenessReport;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class BurnDocumentTest {
  private static final long NOW_MILLIS = 86_400_000;
  private static final ClassName QUICK = new ClassName("quick");

  private static Policy policy() {
    String json = "{\"name\":\"quick\",\"tier\":0,\"first_token_ms\":350,\"objective\":0.9}";
    EntityEdit edit = EntityEdit.set(new EntityKey(EntityKind.CLASS, "quick"), json);
    return Policy.empty().apply(new ConfigChange(new ConfigVersion(1), List.of(edit))).get();
  }

  private static RouterSloReport report(String name, String customer, int good, int bad) {
    SloRecorder recorder = new SloRecorder();
    SloKey key = new SloKey(QUICK, new CustomerId(customer));
    for (int i = 0; i < good + bad; i++) {
      SloSample sample = i < good ? new SloSample(true, 100_000, 0) : SloSample.failed();
      recorder.record(key, policy().classPolicy(QUICK).orElseThrow(), sample, NOW_MILLIS);
    }
    StalenessReport ages = new StalenessReport(10, 20, 30, 40, 7);
    return new RouterSloReport(name, "a", recorder.snapshot(NOW_MILLIS), ages);
  }

  private static BurnDocument document() {
    List<RouterSloReport> reports =
        List.of(report("e1", "atlas", 90, 10), report("e2", "lakeshore", 100, 0));
    return BurnDocument.of(reports, policy());
  }

  @Test
  void countsOfAllRoutersAreMerged() {
    BurnDocument.Line line = document().classes().get(0);
    assertEquals(200, line.requests());
    assertEquals(0.95, line.attainment(), 1e-9);
    assertEquals("atlas", document().worst().get(0).customer());
    assertEquals(100, document().times().get(0).firstTokenMs(), 1);
  }

  @Test
  void tableContainsClassesCustomersAndRouters() {
    String text = BurnTable.write(document());
    for (String word : List.of("quick", "atlas", "95.00 %", "worst-served", "e2")) {
      assertTrue(text.contains(word), word + " is missing in\n" + text);
    }
  }

  @Test
  void jsonContainsAllPartsOfTheReport() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    new Printer(out, out, true).print(document(), "");
    String json = bytes.toString(StandardCharsets.UTF_8);
    for (String word : List.of("classes", "customers", "worst", "times", "ages", "cacheEventsMs")) {
      assertTrue(json.contains("\"" + word + "\""), json);
    }
  }

  @Test
  void pageNeedsNoExternalResources() {
    String page = BurnPage.write(document());
    assertFalse(page.contains("src=") || page.contains("href="));
    assertTrue(page.contains("<svg"));
  }
}
