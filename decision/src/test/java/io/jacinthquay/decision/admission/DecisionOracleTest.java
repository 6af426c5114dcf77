package io.jacinthquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.slots.ClassPolicies;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DecisionListener;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotDecision;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that the oracle detects injected faults, and the effect of one owner per upstream. */
class DecisionOracleTest {
  private static final long MS = DomainSimulation.MS;

  /** A fault in the policies of the owner; the oracle uses the correct ones. */
  enum PolicyFault {
    TIERS_INVERTED(policy -> with(policy, new Tier(4 - policy.tier().value()), 2_000)),
    ALL_TIERS_EQUAL(policy -> with(policy, new Tier(2), 2_000)),
    NO_FLOORS(policy -> with(policy, policy.tier(), 3_600_000)),
    FLOORS_TOO_EARLY(policy -> with(policy, policy.tier(), 200));

    private final UnaryOperator<ClassPolicy> change;

    PolicyFault(UnaryOperator<ClassPolicy> change) {
      this.change = change;
    }

    private static ClassPolicy with(ClassPolicy policy, Tier tier, long floorMs) {
      return new ClassPolicy(
          policy.name(), tier, policy.firstTokenMs(), 50, 0.9, policy.mustFinish(), floorMs);
    }
  }

  @ParameterizedTest
  @EnumSource(PolicyFault.class)
  void detectsFaultyPolicies(PolicyFault fault) {
    assertEquals(List.of(), run(Workload::policy, List.of()).violations());
    ClassPolicies faulty = name -> Workload.policy(name).map(fault.change);
    assertTrue(run(faulty, List.of()).violations().size() > 0, "no violation found");
  }

  /** A fault in single decisions of an otherwise correct trace. */
  enum TraceFault {
    SHED_OF_PASSED_OVER {
      @Override
      List<SlotDecision> change(SlotDecision decision) {
        if (decision instanceof SlotDecision.Granted granted && granted.passedOver().isPresent()) {
          RequestId victim = granted.passedOver().get();
          return List.of(decision, shed(granted, victim));
        }
        return List.of(decision);
      }
    },
    SHED_OF_MUST_FINISH {
      @Override
      List<SlotDecision> change(SlotDecision decision) {
        if (decision instanceof SlotDecision.Queued queued && queued.mustFinish()) {
          ResultCode code = ResultCode.SHED_OVERLOAD;
          return List.of(
              decision,
              new SlotDecision.Shed(
                  queued.atNanos(), queued.scope(), queued.request(), queued.tier(), code));
        }
        return List.of(decision);
      }
    },
    SHED_BEFORE_PREEMPTION {
      @Override
      List<SlotDecision> change(SlotDecision decision) {
        if (decision instanceof SlotDecision.PreemptOrdered order) {
          Tier tier = order.beneficiaryTier();
          ResultCode code = ResultCode.SHED_OVERLOAD;
          return List.of(
              new SlotDecision.Shed(
                  order.atNanos(), order.scope(), order.beneficiary(), tier, code));
        }
        return List.of(decision);
      }
    };

    abstract List<SlotDecision> change(SlotDecision decision);

    private static SlotDecision shed(SlotDecision.Granted granted, RequestId victim) {
      ResultCode code = ResultCode.DEADLINE_UNREACHABLE;
      return new SlotDecision.Shed(
          granted.atNanos(), granted.scope(), victim, granted.tier(), code);
    }
  }

  @ParameterizedTest
  @EnumSource(TraceFault.class)
  void detectsFaultyDecisions(TraceFault fault) {
    assertTrue(run(Workload::policy, List.of(fault)).violations().size() > 0);
  }

  private static DecisionOracle run(ClassPolicies policies, List<TraceFault> faults) {
    DecisionOracle oracle = new DecisionOracle(name -> Workload.policy(name).orElseThrow());
    DecisionListener listener =
        decision -> {
          List<SlotDecision> changed = List.of(decision);
          for (TraceFault fault : faults) {
            changed = fault.change(decision);
          }
          changed.forEach(oracle::onDecision);
        };
    DomainSimulation domain =
        new DomainSimulation(7, 3, policies, vm -> listener).engines(4, 8, 8).start();
    Workload workload = new Workload(domain);
    for (int tier = 0; tier < 5; tier++) {
      double rate = 0.4 * 32 / Workload.meanServiceSeconds();
      workload.stream(tier, "c" + tier, rate, 6_000 * MS);
    }
    workload.bursts(0, 18, 1_500 * MS, 6_000 * MS);
    domain.runUntil(12_000 * MS);
    return oracle;
  }

  @Test
  void oneOwnerPerUpstreamViolatesTheOrderOfTiers() {
    assertTrue(splitPool(true).size() > 0, "no violation with one owner per upstream");
    assertEquals(List.of(), splitPool(false));
  }

  /** Replays the same requests with one owner per upstream or one for the pool. */
  private static List<String> splitPool(boolean perUpstream) {
    DecisionOracle oracle = new DecisionOracle(name -> Workload.policy(name).orElseThrow());
    VmId self = new VmId("entry-0");
    Admission admission = Admission.builder(self, 1, Workload::policy).listener(oracle).build();
    admission.setView(0, DomainSimulation.DOMAIN, DomainView.alone(self));
    List<SlotScope> scopes = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      String pool = perUpstream ? "engines/" + i : "engines";
      scopes.add(new SlotScope(new PoolName(pool), DomainSimulation.DOMAIN));
      UpstreamSpec first = new UpstreamSpec(new UpstreamId("engine-" + i), 1, 1);
      UpstreamSpec second = new UpstreamSpec(new UpstreamId("engine-" + (1 - i)), 1, 1);
      admission.setUpstreams(
          0, scopes.get(i), perUpstream ? List.of(first) : List.of(first, second));
    }
    admission.tick(0);
    admission.submit(MS, request("running-0", 0, scopes.get(0)));
    admission.submit(MS, request("running-1", 0, scopes.get(1)));
    admission.submit(2 * MS, request("high", 1, scopes.get(0)));
    admission.submit(3 * MS, request("low", 3, scopes.get(1)));
    admission.finish(50 * MS, new RequestId("running-1"), Completion.done(9, MS, true));
    admission.tick(2_000 * MS);
    return oracle.violations();
  }

  private static AdmissionRequest request(String id, int tier, SlotScope scope) {
    return new AdmissionRequest(
        new RequestId(id),
        scope,
        new ClassName("t" + tier),
        new CustomerId("atlas"),
        400 * MS,
        10 * MS,
        100,
        false,
        false,
        List.of(),
        List.of());
  }
}
