package io.jacinthquay.router.service.config;

import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.ModelPolicy;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.model.policy.RoutePolicy;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** A configuration with the lists that requests read, built once per change. */
public final class PolicyView {
  private final Policy policy;

  /** Routes, the longest prefix first. */
  private final List<RoutePolicy> routes;

  private final List<ModelName> models;

  private PolicyView(Policy policy, List<RoutePolicy> routes, List<ModelName> models) {
    this.policy = policy;
    this.routes = routes;
    this.models = models;
  }

  /** Returns the view of a configuration. */
  public static PolicyView of(Policy policy) {
    List<RoutePolicy> routes =
        policy.all(EntityKind.ROUTE, RoutePolicy.class).values().stream()
            .sorted(Comparator.comparing((RoutePolicy route) -> -route.prefix().length()))
            .toList();
    List<ModelName> models =
        policy.all(EntityKind.MODEL, ModelPolicy.class).values().stream()
            .map(ModelPolicy::name)
            .toList();
    return new PolicyView(policy, routes, models);
  }

  /** Returns the view after a change that contains no routes or models. */
  PolicyView withPolicy(Policy changed) {
    return new PolicyView(changed, routes, models);
  }

  /** Returns the configuration. */
  public Policy policy() {
    return policy;
  }

  /** Returns the route with the longest prefix that matches the path, if any. */
  public Optional<RoutePolicy> route(String path) {
    return routes.stream().filter(route -> route.matches(path)).findFirst();
  }

  /** Returns the names of all models. */
  public List<ModelName> models() {
    return models;
  }
}
