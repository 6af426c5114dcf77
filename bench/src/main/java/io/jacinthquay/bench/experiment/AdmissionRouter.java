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

/** A router with the real admission: slots granted by owners, and the real placement. */
final class AdmissionRouter extends RouterNode {
  private static final PoolName POOL = new PoolName("engines");
  private static final ModelName MODEL = new ModelName("model");
  private static final long TICK_NANOS = 5 * World.MILLISECOND;
  private static final long HEALTH_NANOS = 100 * World.MILLISECOND;

  /** Wait after which a request is ranked anew, in nanoseconds. */
  private static final long REVIEW_NANOS = 200 * World.MILLISECOND;

  private static final int MAX_OUTPUT_TOKENS = 4_096;
  private static final int PREFERRED = 8;

  /** Output tokens between two corrections of what a request costs. */
  private static final int PROGRESS_TOKENS = 64;

  /** Where and when a slot was asked for. */
  private record Asked(DomainId domain, long at) {}

  private final Admission admission;
  private final OutputEstimator estimator = new OutputEstimator();
  private final Map<RequestId, SimRequest> requests = new HashMap<>();
  private final Map<RequestId, Asked> asked = new HashMap<>();

  AdmissionRouter(World world, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    super(world, id, domain, placers);
    ClassPolicies classes =
        name -> Classes.ALL.stream().filter((ClassPolicy c) -> c.name().equals(name)).findFirst();
    this.admission = Admission.builder(id, 1, classes).build();
    world.events.after(0, this::start);
  }

  private void start() {
    for (int i = 0; i < Scenario.DOMAINS; i++) {
      DomainId domain = Scenario.domain(i);
      List<VmId> members = new ArrayList<>();
      world.routers.stream().filter(r -> r.domain().equals(domain)).forEach(r -> members.add(r.id));
      run(admission.setView(world.now(), domain, new DomainView(members, members)));
      run(admission.setUpstreams(world.now(), new SlotScope(POOL, domain), specs(domain)));
    }
    world.events.every(HEALTH_NANOS, this::updateUpstreams);
    world.events.every(HEALTH_NANOS, this::reviewWaiting);
    world.events.every(TICK_NANOS, () -> run(admission.tick(world.now())));
  }

  /** Tells placement of requests that wait for long, and moves them where a slot comes sooner. */
  private void reviewWaiting() {
    for (RequestId id : List.copyOf(asked.keySet())) {
      SimRequest request = requests.get(id);
      Asked ask = asked.get(id);
      if (ask == null) {
        // The move of a request before it in this round let this one go on.
        continue;
      }
      long waited = world.now() - ask.at();
      if (waited >= REVIEW_NANOS) {
        table.recordSlotWait(ask.domain(), request.classPolicy.tier(), waited, world.now());
        move(request, ask);
      }
    }
  }

  private void move(SimRequest request, Asked ask) {
    List<Placement> ranked = placer.rank(placement(request), u -> true, 1, world.now(), random);
    if (!ranked.isEmpty() && !ranked.get(0).domain().equals(ask.domain())) {
      run(admission.cancel(world.now(), request.id));
      enqueue(request);
    }
  }

  /** Takes ejected upstreams out of the scope that this router may own. */
  private void updateUpstreams() {
    Set<UpstreamId> closed = table.ejectedUpstreams(world.now());
    List<UpstreamSpec> open = new ArrayList<>(specs(domain()));
    open.removeIf(s -> closed.contains(s.upstream()));
    run(admission.setUpstreams(world.now(), new SlotScope(POOL, domain()), open));
  }

  private List<UpstreamSpec> specs(DomainId domain) {
    List<UpstreamSpec> specs = new ArrayList<>();
    for (ModelEngine engine : world.engineList) {
      if (engine.domain().equals(domain)) {
        specs.add(
            new UpstreamSpec(
                engine.id(), engine.settings().freshLimit(), engine.settings().batchLimit()));
      }
    }
    return specs;
  }

  @Override
  void loadReport(LoadReport report) {
    super.loadReport(report);
    DomainId domain = world.engines.get(report.upstream()).domain();
    run(admission.reportLoad(world.now(), new SlotScope(POOL, domain), report));
  }

  @Override
  void enqueue(SimRequest request) {
    PlacementRequest facts = placement(request);
    List<Placement> ranked = placer.rank(facts, u -> true, PREFERRED, world.now(), random);
    SlotPreference preference =
        SlotPreference.of(ranked, facts.excluded(), table.ejectedUpstreams(world.now()))
            .orElse(null);
    if (preference == null) {
      refused(request);
      return;
    }
    requests.put(request.id, request);
    asked.put(request.id, new Asked(preference.domain(), world.now()));
    run(
        admission.submit(
            world.now(),
            new AdmissionRequest(
                request.id,
                new SlotScope(POOL, preference.domain()),
                request.classPolicy.name(),
                request.customer,
                request.deadline(),
                preference.expectedFirstTokenNanos(),
                request.promptTokens + expectedOutput(request),
                true,
                request.delivered > 0,
                preference.preferred(),
                preference.avoided())));
  }

  private long expectedOutput(SimRequest request) {
    return estimator.expectedAfter(key(request), request.delivered, MAX_OUTPUT_TOKENS);
  }

  private static OutputEstimator.Key key(SimRequest request) {
    return new OutputEstimator.Key(request.classPolicy.name(), MODEL, request.customer);
  }

  private void run(List<AdmissionAction> actions) {
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Dispatch dispatch) {
        granted(requests.get(dispatch.request()));
        send(requests.get(dispatch.request()), dispatch.upstream());
      } else if (action instanceof AdmissionAction.Refuse refuse) {
        granted(requests.get(refuse.request()));
        refused(requests.remove(refuse.request()));
      } else if (action instanceof AdmissionAction.Preempt preempt) {
        preempt(requests.get(preempt.request()));
      } else if (action instanceof AdmissionAction.Send send) {
        deliver(send);
      }
    }
  }

  /** Records how long a request waited for its slot or its refusal. */
  private void granted(SimRequest request) {
    Asked ask = asked.remove(request.id);
    if (ask != null) {
      long waited = world.now() - ask.at();
      table.recordSlotWait(ask.domain(), request.classPolicy.tier(), waited, world.now());
    }
  }

  private void deliver(AdmissionAction.Send send) {
    for (RouterNode router : world.routers) {
      if (router.id.equals(send.to()) && world.reachable(domain(), router.domain())) {
        AdmissionRouter to = (AdmissionRouter) router;
        world.events.after(
            World.NETWORK_NANOS, () -> to.run(to.admission.receive(world.now(), send.message())));
      }
    }
  }

  private void preempt(SimRequest request) {
    Attempt attempt = request == null ? null : running.remove(request);
    if (attempt == null) {
      return;
    }
    attempt.cancel();
    long remaining = request.promptTokens + expectedOutput(request) - request.delivered;
    run(
        admission.reportPreempted(
            world.now(), request.id, attempt.workedTokens(), Math.max(1, remaining)));
  }

  @Override
  void progressed(SimRequest request) {
    if (request.delivered % PROGRESS_TOKENS == 0) {
      long spent = request.promptTokens + request.delivered;
      long expected = request.promptTokens + expectedOutput(request);
      run(admission.reportProgress(world.now(), request.id, spent, expected));
    }
  }

  @Override
  void withdraw(SimRequest request) {
    requests.remove(request.id);
    asked.remove(request.id);
    run(admission.cancel(world.now(), request.id));
  }

  @Override
  void freed(Attempt attempt, AttemptEnd end) {
    SimRequest request = attempt.request;
    if (end == AttemptEnd.COMPLETED) {
      estimator.finished(key(request), request.outputTokens);
    }
    requests.remove(request.id);
    run(admission.finish(world.now(), request.id, completion(attempt, end)));
  }

  private Completion completion(Attempt attempt, AttemptEnd end) {
    long tokens = attempt.workedTokens();
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
