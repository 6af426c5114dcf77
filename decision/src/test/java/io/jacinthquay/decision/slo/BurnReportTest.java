package io.jacinthquay.decision.slo;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BurnReportTest {
  private static final ClassName QUICK = new ClassName("quick");
  private static final ClassPolicy TARGET =
      new ClassPolicy(QUICK, new Tier(0), 350, 41, 0.95, false, 5_000);
  private static final SloKey ATLAS = new SloKey(QUICK, new CustomerId("atlas"));
  private static final SloKey LAKESHORE = new SloKey(QUICK, new CustomerId("lakeshore"));
  private static final SloSample GOOD = new SloSample(true, 350_000, 41_000);
  private static final long DAY_MILLIS = 86_400_000;

  private static Policy policy() {
    String json = "{\"name\":\"quick\",\"tier\":0,\"first_token_ms\":350,\"objective\":0.95}";
    EntityKey key = new EntityKey(EntityKind.CLASS, "quick");
    List<EntityEdit> edits = List.of(EntityEdit.set(key, json));
    return Policy.empty().apply(new ConfigChange(new ConfigVersion(1), edits)).get();
  }

  private static void record(SloRecorder ledger, SloKey key, int good, int bad, long now) {
    for (int i = 0; i < good; i++) {
      ledger.record(key, TARGET, GOOD, now);
    }
    for (int i = 0; i < bad; i++) {
      ledger.record(key, TARGET, SloSample.failed(), now);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "true,350000,41000,true",
    "true,350001,41000,false",
    "true,1,41001,false",
    "false,1,1,false",
    "true,1,0,true"
  })
  void targetsIncludeTheirLimit(boolean complete, long first, long inter, boolean met) {
    assertEquals(met, new SloSample(complete, first, inter).meets(TARGET));
  }

  @Test
  void worstCustomerHasTheSmallestRemainingBudget() {
    SloRecorder ledger = new SloRecorder();
    record(ledger, ATLAS, 100, 0, DAY_MILLIS);
    record(ledger, LAKESHORE, 90, 10, DAY_MILLIS);
    BurnReport report = BurnReport.of(ledger.snapshot(DAY_MILLIS), policy());
    BurnRow worst = report.worstCustomer().orElseThrow();
    assertEquals(LAKESHORE.customer(), worst.customer().orElseThrow());
    assertEquals(2.0, worst.burn().get(BurnWindow.ONE_HOUR), 1e-9);
    assertEquals(-1.0, worst.budgetLeft(), 1e-9);
    assertEquals(0.95, report.classes().get(0).tally().attainment(), 1e-9);
  }

  @ParameterizedTest
  @CsvSource({"0,300000,0", "300000,300000,1", "290000,300000,1", "0,299999,1", "0,600000,0"})
  void countsExpireFromTheShortWindow(long at, long now, long expected) {
    SloRecorder ledger = new SloRecorder();
    record(ledger, ATLAS, 1, 0, at + DAY_MILLIS);
    Tally tally = ledger.snapshot(now + DAY_MILLIS).tally(ATLAS, BurnWindow.FIVE_MINUTES);
    assertEquals(expected, tally.total());
  }

  @ParameterizedTest
  @CsvSource({"100,0,NONE", "20,80,PAGE", "60,40,PAGE", "97,3,NONE", "93,7,TICKET"})
  void alertsDependOnBurnRates(int good, int bad, BurnAlert alert) {
    SloRecorder ledger = new SloRecorder();
    record(ledger, ATLAS, good, bad, DAY_MILLIS);
    BurnReport report = BurnReport.of(ledger.snapshot(DAY_MILLIS), policy());
    assertEquals(alert, report.classes().get(0).alert());
  }

  @Property(seed = "7", tries = 50)
  void mergedCountsEqualThoseOfOneLedger(@ForAll long seed) {
    Random random = new Random(seed);
    SloRecorder whole = new SloRecorder();
    List<SloRecorder> parts = List.of(new SloRecorder(), new SloRecorder(), new SloRecorder());
    long now = DAY_MILLIS;
    for (int i = 0; i < 500; i++) {
      now += random.nextInt(60_000);
      SloSample sample =
          new SloSample(random.nextBoolean(), 1 + random.nextInt(700_000), random.nextInt(80_000));
      SloKey key = random.nextBoolean() ? ATLAS : LAKESHORE;
      whole.record(key, TARGET, sample, now);
      parts.get(random.nextInt(parts.size())).record(key, TARGET, sample, now);
    }
    SloSnapshot.Builder merged = SloSnapshot.builder();
    for (SloRecorder part : parts) {
      merged.addAll(part.snapshot(now));
    }
    assertSameCounts(whole.snapshot(now), merged.build());
  }

  private static void assertSameCounts(SloSnapshot expected, SloSnapshot actual) {
    List<Tally> expectedTallies = new ArrayList<>();
    List<Tally> actualTallies = new ArrayList<>();
    for (SloKey key : List.of(ATLAS, LAKESHORE)) {
      for (BurnWindow window : BurnWindow.values()) {
        expectedTallies.add(expected.tally(key, window));
        actualTallies.add(actual.tally(key, window));
      }
    }
    assertEquals(expectedTallies, actualTallies);
    assertEquals(expected.firstToken(QUICK), actual.firstToken(QUICK));
    assertEquals(expected.interToken(QUICK), actual.interToken(QUICK));
  }
}
