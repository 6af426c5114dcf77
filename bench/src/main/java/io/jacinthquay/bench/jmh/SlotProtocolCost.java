package io.jacinthquay.bench.jmh;

import io.jacinthquay.decision.admission.Admission;
import io.jacinthquay.decision.admission.AdmissionAction;
import io.jacinthquay.decision.admission.AdmissionRequest;
import io.jacinthquay.decision.admission.ScopeStatus;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotMessage;
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
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Measures the cost of the slot protocol between the routers of one pool and failure domain, in
 * virtual time: round trips and messages per request, bytes per request and per node and second,
 * estimated from the sizes of the fields, and the share of slots that are granted but idle.
 *
 * <pre>{@code
 * java -cp 'dist/lib/*' io.jacinthquay.bench.jmh.SlotProtocolCost
 * }</pre>
 */
public final class SlotProtocolCost {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** One-way delay of a message. */
  private static final long NETWORK_DELAY_NANOS = 250_000L;

  /** Virtual time of one case; the first half is the warm-up. */
  private static final long DURATION_SECONDS = 20;

  /** Mean service time of a request. */
  private static final long MEAN_SERVICE_NANOS = 500 * NANOS_PER_MILLI;

  private static final int SLOTS_PER_UPSTREAM = 16;

  // Estimated sizes of the fields of a message.
  private static final int STAMP_BYTES = 24;
  private static final int SCOPE_BYTES = 4;
  private static final int REQUEST_BYTES = 48;
  private static final int SLOT_BYTES = 8;
  private static final int FRAME_BYTES = 12;
  private static final SlotScope SCOPE = new SlotScope(new PoolName("m"), new DomainId("a"));

  private final Random random = new Random(4711);
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<VmId, Admission> routers = new LinkedHashMap<>();
  private final int upstreams;
  private long nowNanos;
  private long order;
  private long requests;
  private long messages;
  private long bytes;
  private long idleSamples;
  private long idleSum;

  private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private SlotProtocolCost(int routerCount, int upstreams) {
    this.upstreams = upstreams;
    for (int i = 0; i < routerCount; i++) {
      VmId vm = new VmId("entry-" + i);
      routers.put(vm, Admission.builder(vm, 1, SlotProtocolCost::policy).build());
    }
  }

  /** Runs all cases and prints one line of JSON for each. */
  public static void main(String[] args) {
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    for (int routers : new int[] {3, 9, 49}) {
      for (double load : new double[] {0.3, 0.7, 0.95, 1.5}) {
        new SlotProtocolCost(routers, 2 * routers).run(load, out);
      }
    }
  }

  private static Optional<ClassPolicy> policy(ClassName name) {
    return Optional.of(new ClassPolicy(name, new Tier(1), 1_000, 50, 0.9, false, 60_000));
  }

  private void run(double load, PrintStream out) {
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int i = 0; i < upstreams; i++) {
      specs.add(
          new UpstreamSpec(new UpstreamId("engine-" + i), SLOTS_PER_UPSTREAM, SLOTS_PER_UPSTREAM));
    }
    List<VmId> all = new ArrayList<>(routers.keySet());
    routers.forEach((vm, node) -> execute(vm, node.setUpstreams(0, SCOPE, specs)));
    routers.forEach(
        (vm, node) -> execute(vm, node.setView(0, SCOPE.domain(), new DomainView(all, all))));
    double perRouter =
        load * upstreams * SLOTS_PER_UPSTREAM / (MEAN_SERVICE_NANOS / 1e9) / all.size();
    for (VmId vm : all) {
      schedule(random.nextInt((int) NANOS_PER_MILLI), () -> tick(vm));
      arrive(vm, perRouter);
    }
    schedule(DURATION_SECONDS * 500 * NANOS_PER_MILLI, this::reset);
    while (!events.isEmpty()
        && events.peek().atNanos() < DURATION_SECONDS * 1_000 * NANOS_PER_MILLI) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    print(load, perRouter, out);
  }

  /** Resets the counters after the warm-up. */
  private void reset() {
    requests = 0;
    messages = 0;
    bytes = 0;
    idleSum = 0;
    idleSamples = 0;
  }

  private void print(double load, double perRouter, PrintStream out) {
    long ahead = 0;
    long onRequest = 0;
    for (Admission node : routers.values()) {
      ScopeStatus status = node.status(nowNanos).get(SCOPE);
      ahead += status.dispatchedFromIdle();
      onRequest += status.dispatchedAfterGrant();
    }
    double seconds = DURATION_SECONDS / 2.0;
    out.printf(
        Locale.ROOT,
        "{\"routers\":%d,\"load\":%.2f,\"requests_per_s_router\":%.0f,"
            + "\"round_trips_per_request\":%.3f,\"messages_per_request\":%.2f,"
            + "\"bytes_per_request\":%.0f,\"bytes_per_s_node\":%.0f,\"idle_share\":%.4f}%n",
        routers.size(),
        load,
        perRouter,
        (double) onRequest / (ahead + onRequest),
        (double) messages / requests,
        (double) bytes / requests,
        bytes / seconds / routers.size(),
        (double) idleSum / idleSamples / (upstreams * SLOTS_PER_UPSTREAM));
  }

  private void arrive(VmId vm, double perSecond) {
    long gapNanos = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    schedule(
        gapNanos,
        () -> {
          submit(vm);
          arrive(vm, perSecond);
        });
  }

  private void submit(VmId vm) {
    requests++;
    AdmissionRequest request =
        new AdmissionRequest(
            new RequestId("r" + order),
            SCOPE,
            new ClassName("chat"),
            new CustomerId("c" + random.nextInt(10)),
            nowNanos + 1_000 * NANOS_PER_MILLI,
            20 * NANOS_PER_MILLI,
            300,
            true,
            false,
            List.of(),
            List.of());
    execute(vm, routers.get(vm).submit(nowNanos, request));
  }

  private void tick(VmId vm) {
    Admission node = routers.get(vm);
    execute(vm, node.tick(nowNanos));
    idleSum += node.status(nowNanos).get(SCOPE).idle();
    idleSamples += vm.value().equals("entry-0") ? 1 : 0;
    schedule(5 * NANOS_PER_MILLI, () -> tick(vm));
  }

  private void execute(VmId vm, List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Send send) {
        messages++;
        bytes += estimateBytes(send.message());
        Admission node = routers.get(send.to());
        schedule(
            NETWORK_DELAY_NANOS, () -> execute(send.to(), node.receive(nowNanos, send.message())));
      } else if (action instanceof AdmissionAction.Dispatch dispatch) {
        long serviceNanos = (long) (MEAN_SERVICE_NANOS * -Math.log(1 - random.nextDouble()));
        schedule(serviceNanos, () -> finish(vm, dispatch.request()));
      }
    }
  }

  private void finish(VmId vm, RequestId request) {
    Completion done = Completion.done(300, 20 * NANOS_PER_MILLI, true);
    execute(vm, routers.get(vm).finish(nowNanos, request, done));
  }

  private void schedule(long delayNanos, Runnable action) {
    order++;
    events.add(new Event(nowNanos + delayNanos, order, action));
  }

  private static int estimateBytes(SlotMessage message) {
    int base = FRAME_BYTES + STAMP_BYTES + SCOPE_BYTES;
    if (message instanceof SlotMessage.Ask ask) {
      int sum = base;
      for (SlotRequest request : ask.requests()) {
        sum += REQUEST_BYTES + request.request().value().length();
      }
      return sum;
    }
    if (message instanceof SlotMessage.Use) {
      return base + SLOT_BYTES + REQUEST_BYTES;
    }
    if (message instanceof SlotMessage.State state) {
      int each = SLOT_BYTES + REQUEST_BYTES;
      return base + (state.used().size() + state.waiting().size()) * each;
    }
    return base + SLOT_BYTES + 2 * SLOT_BYTES;
  }
}
