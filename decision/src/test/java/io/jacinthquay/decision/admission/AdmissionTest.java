package io.jacinthquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Admission on a single router, which owns its slots. */
class AdmissionTest {
  private static final long MS = 1_000_000L;
  private static final VmId SELF = new VmId("entry-1");
  private static final DomainId DOMAIN = new DomainId("a");
  private static final SlotScope SCOPE = new SlotScope(new PoolName("engines"), DOMAIN);
  private static final UpstreamId ENGINE = new UpstreamId("engine-1");
  private static final ClassName HIGH = new ClassName("high");
  private static final ClassName LOW = new ClassName("low");

  private static final Completion DONE = Completion.done(100, 5 * MS, true);

  private final Admission admission = Admission.builder(SELF, 1, AdmissionTest::policy).build();

  private static Optional<ClassPolicy> policy(ClassName name) {
    int tier = name.equals(HIGH) ? 0 : 3;
    return Optional.of(new ClassPolicy(name, new Tier(tier), 300, 50, 0.9, false, 60_000));
  }

  private static AdmissionRequest request(String id, ClassName name, long deadlineNanos) {
    return new AdmissionRequest(
        new RequestId(id),
        SCOPE,
        name,
        new CustomerId("atlas"),
        deadlineNanos,
        10 * MS,
        100,
        true,
        false,
        List.of(),
        List.of());
  }

  private void start(int floor) {
    start(floor, floor);
  }

  private void start(int floor, int ceiling) {
    admission.setView(0, DOMAIN, DomainView.alone(SELF));
    admission.setUpstreams(0, SCOPE, List.of(new UpstreamSpec(ENGINE, floor, ceiling)));
    admission.tick(0);
  }

  @Test
  void queuesRequestsBeyondTheLimit() {
    start(1);
    var first = admission.submit(MS, request("r1", LOW, 300 * MS));
    assertEquals(List.of(new AdmissionAction.Dispatch(new RequestId("r1"), ENGINE)), first);
    assertEquals(List.of(), admission.submit(2 * MS, request("r2", LOW, 300 * MS)));
    var next = admission.finish(9 * MS, new RequestId("r1"), Completion.done(100, 5 * MS, true));
    assertEquals(List.of(new AdmissionAction.Dispatch(new RequestId("r2"), ENGINE)), next);
  }

  /** Guards against a third request on an engine with a limit of two before any load report. */
  @Test
  void neverExceedsTheInitialLimitBeforeALoadReport() {
    start(2, UpstreamSpec.DEFAULT_CEILING);
    for (int i = 1; i <= 5; i++) {
      admission.submit(MS, request("r" + i, LOW, 300 * MS));
    }
    assertEquals(1, admission.finish(9 * MS, new RequestId("r1"), DONE).size());
    admission.reportLoad(10 * MS, SCOPE, new LoadReport(ENGINE, 10 * MS, 2, 0, false, 3));
    assertEquals(2, admission.finish(11 * MS, new RequestId("r2"), DONE).size());
  }

  @Test
  void refusesRequestsThatCanNoLongerBeOnTime() {
    start(1);
    admission.submit(MS, request("r1", LOW, 300 * MS));
    admission.submit(2 * MS, request("r2", LOW, 300 * MS));
    assertEquals(List.of(), admission.tick(290 * MS));
    var refused = assertInstanceOf(AdmissionAction.Refuse.class, admission.tick(291 * MS).get(0));
    assertEquals(ResultCode.DEADLINE_UNREACHABLE, refused.code());
  }

  @Test
  void dispatchesLateRequestsWhileSlotsAreFree() {
    start(2);
    var late = admission.submit(400 * MS, request("late", LOW, 300 * MS));
    assertEquals(List.of(new AdmissionAction.Dispatch(new RequestId("late"), ENGINE)), late);
  }

  @Test
  void preemptsLowerTierWhenTheTargetIsNear() {
    start(1);
    admission.submit(MS, request("low", LOW, 300 * MS));
    admission.submit(2 * MS, request("high", HIGH, 302 * MS));
    assertEquals(List.of(), admission.tick(251 * MS));
    var order = admission.tick(253 * MS);
    assertEquals(List.of(new AdmissionAction.Preempt(new RequestId("low"))), order);
    var next = admission.reportPreempted(255 * MS, new RequestId("low"), 60, 80);
    assertEquals(List.of(new AdmissionAction.Dispatch(new RequestId("high"), ENGINE)), next);
    var resumed = admission.finish(900 * MS, new RequestId("high"), Completion.done(9, MS, true));
    assertEquals(List.of(new AdmissionAction.Dispatch(new RequestId("low"), ENGINE)), resumed);
    var counts = admission.status(900 * MS).get(SCOPE).owned().orElseThrow().counts();
    assertEquals(60, counts.wastedTokens());
  }

  @Test
  void refusesLocallyOnlyWhileNoOwnerAnswers() {
    admission.setView(0, DOMAIN, new DomainView(List.of(SELF), List.of(new VmId("entry-9"))));
    admission.submit(MS, request("r1", LOW, 300 * MS));
    var before = admission.tick(289 * MS);
    assertTrue(before.stream().noneMatch(AdmissionAction.Refuse.class::isInstance));
    var after = admission.tick(291 * MS);
    assertTrue(
        after.stream()
            .anyMatch(
                action ->
                    action instanceof AdmissionAction.Refuse refuse
                        && refuse.code() == ResultCode.NO_UPSTREAM));
  }

  @Test
  void holdsUnusedSlotsOnceRequestsArriveRegularly() {
    start(16);
    for (int i = 0; i < 40; i++) {
      long now = i * 50 * MS;
      RequestId id = new RequestId("r" + i);
      assertEquals(1, admission.submit(now, request(id.value(), LOW, now + 300 * MS)).size());
      admission.tick(now + MS);
      admission.finish(now + 20 * MS, id, Completion.done(100, 5 * MS, true));
    }
    ScopeStatus status = admission.status(2_000 * MS).get(SCOPE);
    assertTrue(status.dispatchedFromIdle() > 20, status.toString());
  }
}
