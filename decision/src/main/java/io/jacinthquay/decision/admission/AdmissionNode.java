package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DecisionListener;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.OwnerStatus;
import io.jacinthquay.decision.slots.RendezvousHash;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.decision.slots.SlotOwner;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Runs the client and the owner side of every scope; messages to this router are looped back. */
final class AdmissionNode implements Admission, Outbox {
  /** Maximum number of customers whose excess tokens are remembered. */
  private static final int MAX_CUSTOMERS = 16_384;

  /** Low bits of an owner's incarnation number, which count the owners created by this process. */
  private static final int GENERATION_BITS = 16;

  private final VmId self;
  private final long incarnation;
  private final SlotOwner.Settings settings;
  private final DecisionListener listener;
  private final Map<SlotScope, ScopeClient> clients = new TreeMap<>();
  private final Map<SlotScope, SlotOwner> owners = new TreeMap<>();
  private final Map<SlotScope, List<UpstreamSpec>> specs = new HashMap<>();
  private final Map<DomainId, DomainView> views = new HashMap<>();
  private final Map<RequestId, ScopeClient> clientByRequest = new HashMap<>();
  private final ArrayDeque<SlotMessage> loopback = new ArrayDeque<>();
  private final Map<CustomerClass, Double> excessTokens =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CustomerClass, Double> eldest) {
          return size() > MAX_CUSTOMERS;
        }
      };
  private List<AdmissionAction> actions = new ArrayList<>();
  private boolean left;
  private long generations;

  private record CustomerClass(ClassName className, CustomerId customer) {}

  AdmissionNode(
      VmId self, long incarnation, SlotOwner.Settings settings, DecisionListener listener) {
    this.self = self;
    this.incarnation = incarnation;
    this.settings = settings;
    this.listener = listener;
  }

  @Override
  public List<AdmissionAction> submit(long nowNanos, AdmissionRequest request) {
    ScopeClient client = client(nowNanos, request.scope());
    clientByRequest.put(request.request(), client);
    client.submit(nowNanos, request);
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> reportProgress(
      long nowNanos, RequestId request, long tokens, long expected) {
    ScopeClient client = clientByRequest.get(request);
    if (client != null) {
      client.reportProgress(nowNanos, request, tokens, expected);
    }
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> finish(long nowNanos, RequestId request, Completion completion) {
    ScopeClient client = clientByRequest.get(request);
    if (client != null && client.finish(nowNanos, request, completion)) {
      clientByRequest.remove(request);
    }
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> reportPreempted(
      long nowNanos, RequestId request, long tokens, long remaining) {
    ScopeClient client = clientByRequest.get(request);
    if (client != null) {
      client.requeuePreempted(nowNanos, request, tokens, remaining);
    }
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> cancel(long nowNanos, RequestId request) {
    ScopeClient client = clientByRequest.get(request);
    if (client != null && client.cancel(nowNanos, request)) {
      clientByRequest.remove(request);
    }
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> receive(long nowNanos, SlotMessage message) {
    loopback.add(message);
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> reportLoad(long nowNanos, SlotScope scope, LoadReport report) {
    SlotOwner owner = owners.get(scope);
    if (owner != null) {
      owner.reportLoad(nowNanos, report);
    }
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> setView(long nowNanos, DomainId domain, DomainView view) {
    views.put(domain, view);
    clients.forEach(
        (scope, client) -> {
          if (scope.domain().equals(domain)) {
            client.setOwner(nowNanos, ownerOf(scope));
          }
        });
    owners.forEach(
        (scope, owner) -> {
          if (scope.domain().equals(domain)) {
            owner.setMembers(nowNanos, view.members());
          }
        });
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> setUpstreams(
      long nowNanos, SlotScope scope, List<UpstreamSpec> upstreams) {
    specs.put(scope, List.copyOf(upstreams));
    SlotOwner owner = owners.get(scope);
    if (owner != null) {
      owner.setUpstreams(nowNanos, upstreams);
    }
    client(nowNanos, scope);
    return drain(nowNanos);
  }

  @Override
  public List<AdmissionAction> tick(long nowNanos) {
    clients.values().forEach(client -> client.tick(nowNanos));
    drainLoopback(nowNanos);
    owners.values().forEach(owner -> owner.tick(nowNanos));
    drainLoopback(nowNanos);
    owners.values().removeIf(SlotOwner::idle);
    return drain(nowNanos);
  }

  @Override
  public long nextTickNanos() {
    long next = Long.MAX_VALUE;
    for (ScopeClient client : clients.values()) {
      next = Math.min(next, client.nextTickNanos());
    }
    for (SlotOwner owner : owners.values()) {
      next = Math.min(next, owner.nextTickNanos());
    }
    return next;
  }

  @Override
  public List<AdmissionAction> leave(long nowNanos) {
    clients.values().forEach(client -> client.leave(nowNanos));
    List<AdmissionAction> last = drain(nowNanos);
    left = true;
    owners.clear();
    return last;
  }

  @Override
  public Map<SlotScope, ScopeStatus> status(long nowNanos) {
    Map<SlotScope, ScopeStatus> all = new TreeMap<>();
    clients.forEach(
        (scope, client) -> {
          Optional<OwnerStatus> owned =
              Optional.ofNullable(owners.get(scope)).map(SlotOwner::status);
          all.put(scope, client.status(nowNanos, owned));
        });
    return all;
  }

  @Override
  public void addAction(AdmissionAction action) {
    if (action instanceof AdmissionAction.Refuse refuse) {
      clientByRequest.remove(refuse.request());
    }
    actions.add(action);
  }

  @Override
  public void sendToOwner(VmId owner, SlotMessage.ToOwner message) {
    if (owner.equals(self)) {
      loopback.add(message);
    } else {
      actions.add(new AdmissionAction.Send(owner, message));
    }
  }

  private void sendToClient(VmId client, SlotMessage.ToClient message) {
    if (client.equals(self)) {
      loopback.add(message);
    } else {
      actions.add(new AdmissionAction.Send(client, message));
    }
  }

  @Override
  public void recordExcess(ClassName className, CustomerId customer, double tokens) {
    excessTokens.put(new CustomerClass(className, customer), tokens);
  }

  @Override
  public double excessTokens(ClassName className, CustomerId customer) {
    return excessTokens.getOrDefault(new CustomerClass(className, customer), 0.0);
  }

  @Override
  public boolean mustFinish(ClassName className) {
    return settings.classes().find(className).map(ClassPolicy::mustFinish).orElse(false);
  }

  private ScopeClient client(long nowNanos, SlotScope scope) {
    ScopeClient existing = clients.get(scope);
    if (existing != null) {
      return existing;
    }
    ScopeClient created = new ScopeClient(scope, self, incarnation, settings.slots(), this);
    clients.put(scope, created);
    created.setOwner(nowNanos, ownerOf(scope));
    return created;
  }

  private Optional<VmId> ownerOf(SlotScope scope) {
    DomainView view = views.get(scope.domain());
    if (view == null) {
      return Optional.empty();
    }
    return RendezvousHash.choose(RendezvousHash.hash(scope.toString()), view.live());
  }

  private SlotOwner owner(long nowNanos, SlotScope scope) {
    SlotOwner existing = owners.get(scope);
    if (existing != null) {
      return existing;
    }
    generations++;
    long ownerIncarnation = (incarnation << GENERATION_BITS) + generations;
    SlotOwner created =
        new SlotOwner(scope, self, ownerIncarnation, settings, this::sendToClient, listener);
    owners.put(scope, created);
    DomainView view = views.get(scope.domain());
    created.setMembers(nowNanos, view == null ? List.of() : view.members());
    created.setUpstreams(nowNanos, specs.getOrDefault(scope, List.of()));
    return created;
  }

  private void drainLoopback(long nowNanos) {
    while (!loopback.isEmpty()) {
      SlotMessage message = loopback.poll();
      if (message instanceof SlotMessage.ToOwner request && !left) {
        owner(nowNanos, request.scope()).receive(nowNanos, request);
      } else if (message instanceof SlotMessage.ToClient answer) {
        ScopeClient client = clients.get(answer.scope());
        if (client != null) {
          client.receive(nowNanos, answer);
        }
      }
    }
  }

  private List<AdmissionAction> drain(long nowNanos) {
    drainLoopback(nowNanos);
    List<AdmissionAction> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }
}
