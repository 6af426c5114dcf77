package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.decision.placement.PlacementSettings;
import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.decision.placement.Placers;
import io.jacinthquay.decision.placement.UpstreamInfo;
import io.jacinthquay.decision.placement.UpstreamTable;
import io.jacinthquay.decision.retry.RetryBudget;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.router.port.VmEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The upstreams of all pools; guarded by the lock of the dispatcher. */
final class PoolTables {
  private final VmId self;
  private final DomainId local;
  private final PlacementSettings settings;
  private final Map<PoolName, Pool> pools = new HashMap<>();
  private final Set<SlotScope> knownScopes = new HashSet<>();

  PoolTables(VmId self, DomainId local, PlacementSettings settings) {
    this.self = self;
    this.local = local;
    this.settings = settings;
  }

  /** The upstreams of one pool. */
  static final class Pool {
    final UpstreamTable table;
    final Placer placer;
    final RetryBudget budget = new RetryBudget();
    final Map<UpstreamId, VmEntry> entries = new LinkedHashMap<>();

    Pool(UpstreamTable table) {
      this.table = table;
      this.placer = Placers.expectedWait(table);
    }

    boolean serves(UpstreamId id, Optional<ModelName> model) {
      VmEntry entry = entries.get(id);
      if (entry == null) {
        return false;
      }
      return model.isEmpty() || entry.models().isEmpty() || entry.models().contains(model.get());
    }

    private void update(Map<UpstreamId, VmEntry> listed, Policy policy, long now) {
      Set<UpstreamId> removed = new HashSet<>(entries.keySet());
      removed.removeAll(listed.keySet());
      removed.forEach(table::remove);
      entries.keySet().removeAll(removed);
      for (VmEntry entry : listed.values()) {
        entries.put(entry.name(), entry);
        table.add(new UpstreamInfo(entry.name(), entry.domain()), now);
        table.setLeaving(entry.name(), isLeaving(entry, policy), now);
        table.setDomainOut(entry.domain(), policy.isOutOfService(entry.domain()), now);
      }
    }
  }

  private static boolean isLeaving(VmEntry entry, Policy policy) {
    return entry.leaving() || policy.isLeaving(entry.name().value());
  }

  /**
   * Updates the pools from the platform's VM list and the policy. The policy lists the VMs and
   * failure domains that operators have taken out of service.
   */
  void update(List<VmEntry> list, Policy policy, long nowNanos) {
    Map<PoolName, Map<UpstreamId, VmEntry>> byPool = new HashMap<>();
    pools.keySet().forEach(name -> byPool.put(name, new LinkedHashMap<>()));
    for (VmEntry entry : list) {
      if (entry.pool().isPresent() && entry.kind() != VmEntry.Kind.ENTRY) {
        byPool
            .computeIfAbsent(entry.pool().get(), name -> new LinkedHashMap<>())
            .put(entry.name(), entry);
      }
    }
    byPool.forEach(
        (name, listed) ->
            pools.computeIfAbsent(name, n -> newPool()).update(listed, policy, nowNanos));
  }

  private Pool newPool() {
    return new Pool(UpstreamTable.create(local, self.value(), settings));
  }

  /** Returns the upstreams that may receive requests, by pool and failure domain. */
  Map<SlotScope, List<UpstreamSpec>> specs(Policy policy, long nowNanos) {
    Map<SlotScope, List<UpstreamSpec>> specs = new TreeMap<>();
    knownScopes.forEach(scope -> specs.put(scope, new ArrayList<>()));
    pools.forEach((name, pool) -> addSpecs(specs, name, pool, policy, nowNanos));
    knownScopes.addAll(specs.keySet());
    return specs;
  }

  private static void addSpecs(
      Map<SlotScope, List<UpstreamSpec>> specs,
      PoolName name,
      Pool pool,
      Policy policy,
      long nowNanos) {
    Set<UpstreamId> closed = pool.table.ejectedUpstreams(nowNanos);
    for (VmEntry entry : pool.entries.values()) {
      List<UpstreamSpec> scopeSpecs =
          specs.computeIfAbsent(new SlotScope(name, entry.domain()), s -> new ArrayList<>());
      boolean open = !closed.contains(entry.name());
      if (open && !isLeaving(entry, policy) && !policy.isOutOfService(entry.domain())) {
        int ceiling = Math.max(entry.floor(), UpstreamSpec.DEFAULT_CEILING);
        boolean reportsLoad = entry.kind() == VmEntry.Kind.ENGINE;
        scopeSpecs.add(new UpstreamSpec(entry.name(), entry.floor(), ceiling, reportsLoad));
      }
    }
  }

  Optional<Pool> pool(PoolName name) {
    return Optional.ofNullable(pools.get(name));
  }
}
