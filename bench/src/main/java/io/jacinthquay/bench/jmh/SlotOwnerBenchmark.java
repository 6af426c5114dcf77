package io.jacinthquay.bench.jmh;

import io.jacinthquay.decision.bearing.ConcurrencyLimitOptions;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.slots.ClientStamp;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DecisionListener;
import io.jacinthquay.decision.slots.SlotDigest;
import io.jacinthquay.decision.slots.SlotId;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.decision.slots.SlotOptions;
import io.jacinthquay.decision.slots.SlotOwner;
import io.jacinthquay.decision.slots.SlotRequest;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures an owner's time per request of a saturated pool: request, grant and release. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class SlotOwnerBenchmark {
  private static final int ROUTERS = 49;
  private static final int CUSTOMERS = 100;
  private static final int SLOTS_PER_UPSTREAM = 32;

  /** Virtual time between two requests. */
  private static final long STEP_NANOS = 1_000;

  /** Number of waiting requests. */
  @Param({"10", "1000", "10000"})
  public int waiting;

  /** Number of upstreams in the pool. */
  @Param({"12", "57", "1000"})
  public int upstreams;

  private final SlotScope scope = new SlotScope(new PoolName("engines"), new DomainId("a"));
  private final ArrayDeque<SlotMessage.Grant> grants = new ArrayDeque<>();
  private final List<VmId> routers = new ArrayList<>();
  private SlotOwner owner;
  private long nowNanos;
  private long count;
  private long sequence;

  /** Fills all slots and the queue. */
  @Setup
  public void fill() {
    SlotOwner.Settings settings =
        new SlotOwner.Settings(
            SlotOwnerBenchmark::policy, SlotOptions.defaults(), ConcurrencyLimitOptions.defaults());
    VmId self = new VmId("entry-0");
    owner = new SlotOwner(scope, self, 1, settings, this::collectGrant, DecisionListener.NONE);
    for (int i = 0; i < ROUTERS; i++) {
      routers.add(new VmId("entry-" + i));
    }
    owner.setMembers(0, routers);
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      specs.add(
          new UpstreamSpec(new UpstreamId("engine-" + i), SLOTS_PER_UPSTREAM, SLOTS_PER_UPSTREAM));
    }
    owner.setUpstreams(0, specs);
    for (VmId router : routers) {
      owner.receive(
          0,
          new SlotMessage.State(
              scope, stamp(router), List.of(), List.of(), List.of(), 0, List.of(), -1));
      owner.receive(0, new SlotMessage.Sync(scope, stamp(router), emptyDigest(), emptyDigest(), 0));
    }
    for (int i = 0; i < upstreams * SLOTS_PER_UPSTREAM + waiting; i++) {
      requestSlot();
    }
  }

  private static SlotDigest emptyDigest() {
    return SlotDigest.EMPTY;
  }

  private void collectGrant(VmId to, SlotMessage.ToClient message) {
    if (message instanceof SlotMessage.Grant grant) {
      grants.add(grant);
    }
  }

  private static Optional<ClassPolicy> policy(ClassName name) {
    int tier = name.value().charAt(1) - '0';
    return Optional.of(new ClassPolicy(name, new Tier(tier), 3_600_000, 50, 0.9, true, 3_600_000));
  }

  private ClientStamp stamp(VmId router) {
    sequence++;
    return new ClientStamp(router, 1, sequence, nowNanos, nowNanos);
  }

  private void requestSlot() {
    count++;
    SlotRequest request =
        new SlotRequest(
            new RequestId("r" + count),
            new ClassName("t" + count % 5),
            new CustomerId("c" + count % CUSTOMERS),
            3_000_000_000_000L,
            20_000_000L,
            500,
            true,
            false,
            0,
            List.of(),
            List.of());
    VmId router = routers.get((int) (count % ROUTERS));
    owner.receive(nowNanos, new SlotMessage.Ask(scope, stamp(router), List.of(request)));
  }

  /** Releases one slot, which is granted to the next request in order, and requests another. */
  @Benchmark
  public int askGrantRelease() {
    nowNanos += STEP_NANOS;
    SlotMessage.Grant grant = grants.poll();
    SlotId slot = grant.slot();
    long requestNumber = Long.parseLong(grant.request().orElseThrow().value().substring(1));
    VmId router = routers.get((int) (requestNumber % ROUTERS));
    Completion completion = Completion.done(480, 20_000_000L, true);
    owner.receive(nowNanos, new SlotMessage.Release(scope, stamp(router), slot, completion));
    requestSlot();
    return grants.size();
  }
}
