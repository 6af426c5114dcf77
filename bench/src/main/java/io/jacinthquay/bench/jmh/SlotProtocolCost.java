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
 * Counts what slots cost between the routers of one pool and failure domain, in virtual time: round
 * trips and messages a request, bytes a node and second by an estimate of the fields, and slots
 * held without use.
 *
 * <pre>{@code
 * java -cp 'dist/lib/*' io.jacinthquay.bench.jmh.SlotProtocolCost
 * }</pre>
 */
public final class SlotProtocolCost {
  private static final long MS = 1_000_000L;
  private static final long DELAY = 250_000L;
  private static final long SECONDS = 20;
  private static final long SERVICE = 500 * MS;
  private static final int SLOTS_EACH = 16;
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

  private record Event(long at, long order, Runnable run) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private SlotProtocolCost(int routerCount, int upstreams) {
    this.upstreams = upstreams;
    for (int i = 0; i < routerCount; i++) {
      VmId vm = new VmId("entry-" + i);
      routers.put(vm, Admission.builder(vm, 1, SlotProtocolCost::policy).build());
    }
  }

  /** Runs the cases and prints one line each. */
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
      specs.add(new UpstreamSpec(new UpstreamId("engine-" + i), SLOTS_EACH, SLOTS_EACH));
    }
    List<VmId> all = new ArrayList<>(routers.keySet());
    routers.forEach((vm, node) -> act(vm, node.setUpstreams(0, SCOPE, specs)));
    routers.forEach(
        (vm, node) -> act(vm, node.setView(0, SCOPE.domain(), new DomainView(all, all))));
    double perRouter = load * upstreams * SLOTS_EACH / (SERVICE / 1e9) / all.size();
    for (VmId vm : all) {
      at(random.nextInt((int) MS), () -> tick(vm));
      arrive(vm, perRouter);
    }
    at(SECONDS * 500 * MS, this::reset);
    while (!events.isEmpty() && events.peek().at() < SECONDS * 1_000 * MS) {
      Event event = events.poll();
      nowNanos = event.at();
      event.run().run();
    }
    print(load, perRouter, out);
  }

  /** Forgets what was counted while the routers started. */
  private void reset() {
    requests = 0;
    messages = 0;
    bytes = 0;
    idleSum = 0;
    idleSamples = 0;
  }

  private void print(double load, double perRouter, PrintStream out) {
    long ahead = 0;
    long asked = 0;
    for (Admission node : routers.values()) {
      ScopeStatus status = node.status(nowNanos).get(SCOPE);
      ahead += status.dispatchedAhead();
      asked += status.dispatchedAsked();
    }
    double seconds = SECONDS / 2.0;
    out.printf(
        Locale.ROOT,
        "{\"routers\":%d,\"load\":%.2f,\"requests_per_s_router\":%.0f,"
            + "\"round_trips_per_request\":%.3f,\"messages_per_request\":%.2f,"
            + "\"bytes_per_request\":%.0f,\"bytes_per_s_node\":%.0f,\"idle_share\":%.4f}%n",
        routers.size(),
        load,
        perRouter,
        (double) asked / (ahead + asked),
        (double) messages / requests,
        (double) bytes / requests,
        bytes / seconds / routers.size(),
        (double) idleSum / idleSamples / (upstreams * SLOTS_EACH));
  }

  private void arrive(VmId vm, double perSecond) {
    long gap = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
    at(
        gap,
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
            nowNanos + 1_000 * MS,
            20 * MS,
            300,
            true,
            false,
            List.of(),
            List.of());
    act(vm, routers.get(vm).submit(nowNanos, request));
  }

  private void tick(VmId vm) {
    Admission node = routers.get(vm);
    act(vm, node.tick(nowNanos));
    idleSum += node.status(nowNanos).get(SCOPE).idle();
    idleSamples += vm.value().equals("entry-0") ? 1 : 0;
    at(5 * MS, () -> tick(vm));
  }

  private void act(VmId vm, List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Send send) {
        messages++;
        bytes += size(send.message());
        Admission node = routers.get(send.to());
        at(DELAY, () -> act(send.to(), node.receive(nowNanos, send.message())));
      } else if (action instanceof AdmissionAction.Dispatch dispatch) {
        long service = (long) (SERVICE * -Math.log(1 - random.nextDouble()));
        at(service, () -> finish(vm, dispatch.request()));
      }
    }
  }

  private void finish(VmId vm, RequestId request) {
    Completion done = Completion.done(300, 20 * MS, true);
    act(vm, routers.get(vm).finish(nowNanos, request, done));
  }

  private void at(long delay, Runnable run) {
    order++;
    events.add(new Event(nowNanos + delay, order, run));
  }

  private static int size(SlotMessage message) {
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
