package io.jacinthquay.model.routing;

import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.PoolName;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A whole configuration under a number that the operator gave it.
 *
 * @param version the operator's number; of two documents the higher one holds
 * @param routes no two share host and prefix
 * @param pools every pool that a route names
 * @param keyed whether routes that are not open need a key
 * @param holders customers and keys; no two share a key
 */
public record RoutingDocument(
    long version,
    List<RouteRule> routes,
    List<PoolSpec> pools,
    boolean keyed,
    List<KeyHolder> holders) {
  /**
   * Copies the lists and checks what holds between the parts.
   *
   * @throws IllegalArgumentException if a route names an unknown pool, two routes share host and
   *     prefix, or two customers share a key
   */
  public RoutingDocument {
    routes = List.copyOf(routes);
    pools = List.copyOf(pools);
    holders = List.copyOf(holders);
    checkRoutes(routes, pools);
    checkKeys(holders);
  }

  private static void checkRoutes(List<RouteRule> routes, List<PoolSpec> pools) {
    Set<PoolName> known = pools.stream().map(PoolSpec::name).collect(Collectors.toSet());
    Set<String> places = new HashSet<>();
    for (RouteRule route : routes) {
      if (!places.add(route.host() + " " + route.pathPrefix())) {
        throw new IllegalArgumentException("two routes share " + route.host() + route.pathPrefix());
      }
      for (WeightedPool part : route.split()) {
        if (!known.contains(part.pool())) {
          throw new IllegalArgumentException(
              "route " + route.name() + " names the unknown pool " + part.pool());
        }
      }
    }
  }

  private static void checkKeys(List<KeyHolder> holders) {
    Set<KeyDigest> taken = new HashSet<>();
    for (KeyHolder holder : holders) {
      for (KeyDigest key : holder.keys()) {
        if (!taken.add(key)) {
          throw new IllegalArgumentException("customer " + holder.customer() + " shares a key");
        }
      }
    }
  }
}
