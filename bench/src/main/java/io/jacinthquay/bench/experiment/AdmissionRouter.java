package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.decision.admission.Admission;
import io.jacinthquay.decision.admission.AdmissionAction;
import io.jacinthquay.decision.admission.AdmissionRequest;
import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.estimate.OutputEstimator;
import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Placement;
import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.decision.placement.SlotPreference;
import io.jacinthquay.decision.placement.UpstreamTable;
import io.jacinthquay.decision.slots.ClassPolicies;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * A simulated router that runs the production admission, with slots, and the production placement.
 */
final class AdmissionRouter extends RouterNode {
  private static final PoolName POOL = new PoolName("engines");
  private static final ModelName MODEL = new ModelName("model");
  private static final long TICK_INTERVAL_NANOS = 5 * Simulation.NANOS_PER_MILLISECOND;
  private static final long UPDATE_INTERVAL_NANOS = 100 * Simulation.NANOS_PER_MILLISECOND;

  /** Slot wait after which the upstreams for a request are ranked again, in nanoseconds. */
  private static final long RERANK_WAIT_NANOS = 200 * Simulation.NANOS_PER_MILLISECOND;

  private static final int MAX_OUTPUT_TOKENS = 4_096;

  /** Preferred upstreams named in a slot request. */
  private static final int MAX_PREFERRED = 8;

  /** Output tokens between two updates of the expected cost of a request. */
  private static final int PROGRESS_INTERVAL_TOKENS = 64;

  /** The failure domain in which a slot was requested, and the time of the request. */
  private record SlotWait(DomainId domain, long startedAtNanos) {}

  private final Admission admission;
  private final OutputEstimator estimator = new OutputEstimator();
  private final Map<RequestId, SimRequest> requests = new HashMap<>();
  private final Map<RequestId, SlotWait> slotWaits = new HashMap<>();

  AdmissionRouter(
      Simulation simulation, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    super(simulation, id, domain, placers);
    ClassPolicies classes =
        name -> Classes.ALL.stream().filter((ClassPolicy c) -> c.name().equals(name)).findFirst();
    this.admission = Admission.builder(id, 1, classes).build();
    simulation.events.after(0, this::start);
  }

  private void start() {
    for (int i = 0; i < Scenario.DOMAINS; i++) {
      DomainId domain = Scenario.domain(i);
      List<VmId> members = new ArrayList<>();
      simulation.routers.stream()
          .filter(r -> r.domain().equals(domain))
          .forEach(r -> members.add(r.id));
      execute(admission.setView(simulation.now(), domain, new DomainView(members, members)));
      execute(admission.setUpstreams(simulation.now(), new SlotScope(POOL, domain), specs(domain)));
    }
    simulation.events.every(UPDATE_INTERVAL_NANOS, this::updateUpstreams);
    simulation.events.every(UPDATE_INTERVAL_NANOS, this::rerankWaiting);
    simulation.events.every(TICK_INTERVAL_NANOS, () -> execute(admission.tick(simulation.now())));
  }

  /** Reports long slot waits to placement and moves requests to a domain with a shorter wait. */
  private void rerankWaiting() {
    for (RequestId id : List.copyOf(slotWaits.keySet())) {
      SimRequest request = requests.get(id);
      SlotWait slotWait = slotWaits.get(id);
      if (slotWait == null) {
        // Moving an earlier request in this round let this one proceed.
        continue;
      }
      long waited = simulation.now() - slotWait.startedAtNanos();
      if (waited >= RERANK_WAIT_NANOS) {
        table.recordSlotWait(
            slotWait.domain(), request.classPolicy.tier(), waited, simulation.now());
        moveToBetterDomain(request, slotWait);
      }
    }
  }

  private void moveToBetterDomain(SimRequest request, SlotWait slotWait) {
    List<Placement> ranked =
        placer.rank(placementRequest(request), u -> true, 1, simulation.now(), random);
    if (!ranked.isEmpty() && !ranked.get(0).domain().equals(slotWait.domain())) {
      execute(admission.cancel(simulation.now(), request.id));
      enqueue(request);
    }
  }

  /** Removes ejected upstreams from the scope that this router may own. */
  private void updateUpstreams() {
    Set<UpstreamId> ejected = table.ejectedUpstreams(simulation.now());
    List<UpstreamSpec> available = new ArrayList<>(specs(domain()));
    available.removeIf(s -> ejected.contains(s.upstream()));
    execute(admission.setUpstreams(simulation.now(), new SlotScope(POOL, domain()), available));
  }

  private List<UpstreamSpec> specs(DomainId domain) {
    List<UpstreamSpec> specs = new ArrayList<>();
    for (ModelEngine engine : simulation.engineList) {
      if (engine.domain().equals(domain)) {
        specs.add(
            new UpstreamSpec(
                engine.id(), engine.settings().startLimit(), engine.settings().batchLimit()));
      }
    }
    return specs;
  }

  @Override
  void applyLoadReport(LoadReport report) {
    super.applyLoadReport(report);
    DomainId domain = simulation.engines.get(report.upstream()).domain();
    execute(admission.reportLoad(simulation.now(), new SlotScope(POOL, domain), report));
  }

  @Override
  void enqueue(SimRequest request) {
    PlacementRequest placementRequest = placementRequest(request);
    List<Placement> ranked =
        placer.rank(placementRequest, u -> true, MAX_PREFERRED, simulation.now(), random);
    SlotPreference preference =
        SlotPreference.of(
                ranked, placementRequest.excluded(), table.ejectedUpstreams(simulation.now()))
            .orElse(null);
    if (preference == null) {
      reject(request);
      return;
    }
    requests.put(request.id, request);
    slotWaits.put(request.id, new SlotWait(preference.domain(), simulation.now()));
    execute(
        admission.submit(
            simulation.now(),
            new AdmissionRequest(
                request.id,
                new SlotScope(POOL, preference.domain()),
                request.classPolicy.name(),
                request.customer,
                request.deadline(),
                preference.expectedFirstTokenNanos(),
                request.promptTokens + expectedOutput(request),
                true,
                request.deliveredTokens > 0,
                preference.preferred(),
                preference.avoided())));
  }

  private long expectedOutput(SimRequest request) {
    return estimator.expectedAfter(key(request), request.deliveredTokens, MAX_OUTPUT_TOKENS);
  }

  private static OutputEstimator.Key key(SimRequest request) {
    return new OutputEstimator.Key(request.classPolicy.name(), MODEL, request.customer);
  }

  private void execute(List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Dispatch dispatch) {
        recordSlotWait(requests.get(dispatch.request()));
        send(requests.get(dispatch.request()), dispatch.upstream());
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        recordSlotWait(requests.get(refuse.request()));
        reject(requests.remove(refuse.request()));
      } else if (action instanceof AdmissionAction.Preempt preempt) {
        preempt(requests.get(preempt.request()));
      } else if (action instanceof AdmissionAction.Send send) {
        deliver(send);
      }
    }
  }

  /** Records how long a request waited for its slot or its rejection. */
  private void recordSlotWait(SimRequest request) {
    SlotWait slotWait = slotWaits.remove(request.id);
    if (slotWait != null) {
      long waited = simulation.now() - slotWait.startedAtNanos();
      table.recordSlotWait(slotWait.domain(), request.classPolicy.tier(), waited, simulation.now());
    }
  }

  private void deliver(AdmissionAction.Send send) {
    for (RouterNode router : simulation.routers) {
      if (router.id.equals(send.to()) && simulation.isReachable(domain(), router.domain())) {
        AdmissionRouter receiver = (AdmissionRouter) router;
        simulation.events.after(
            Simulation.NETWORK_NANOS,
            () -> receiver.execute(receiver.admission.receive(simulation.now(), send.message())));
      }
    }
  }

  private void preempt(SimRequest request) {
    Attempt attempt = request == null ? null : running.remove(request);
    if (attempt == null) {
      return;
    }
    attempt.cancel();
    long remaining = request.promptTokens + expectedOutput(request) - request.deliveredTokens;
    execute(
        admission.reportPreempted(
            simulation.now(), request.id, attempt.computedTokens(), Math.max(1, remaining)));
  }

  @Override
  void onTokenForwarded(SimRequest request) {
    if (request.deliveredTokens % PROGRESS_INTERVAL_TOKENS == 0) {
      long spent = request.promptTokens + request.deliveredTokens;
      long expected = request.promptTokens + expectedOutput(request);
      execute(admission.reportProgress(simulation.now(), request.id, spent, expected));
    }
  }

  @Override
  void removeFromQueue(SimRequest request) {
    requests.remove(request.id);
    slotWaits.remove(request.id);
    execute(admission.cancel(simulation.now(), request.id));
  }

  @Override
  void onAttemptEnd(Attempt attempt, AttemptEnd end) {
    SimRequest request = attempt.request;
    if (end == AttemptEnd.COMPLETED) {
      estimator.finished(key(request), request.outputTokens);
    }
    requests.remove(request.id);
    execute(admission.finish(simulation.now(), request.id, completion(attempt, end)));
  }

  private Completion completion(Attempt attempt, AttemptEnd end) {
    long tokens = attempt.computedTokens();
    return switch (end) {
      case COMPLETED ->
          Completion.done(tokens, attempt.firstTokenNanos(), attempt.request.isOnTarget());
      case FAILED -> Completion.ended(Completion.End.FAILED, tokens);
      case REFUSED -> Completion.ended(Completion.End.REFUSED, tokens);
      case CANCELLED -> Completion.ended(Completion.End.CANCELLED, tokens);
    };
  }

  @Override
  int priority(SimRequest request) {
    return request.classPolicy.tier().value();
  }
}
