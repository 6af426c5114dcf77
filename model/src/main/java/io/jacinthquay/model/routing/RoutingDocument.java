package io.jacinthquay.model.routing;

import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.PoolName;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A complete routing configuration with a version that the operator assigns.
 *
 * @param version the version; the document with the highest version is in effect
 * @param routes the routes; no two have the same host and prefix
 * @param pools the pools, including every pool that a route names
 * @param keysRequired whether routes that are not open require a key
 * @param holders the customers and their keys; no two customers have the same key
 * @param maxBodyBytes size of the largest body of a request, in bytes, 1 or more; the limit of the
 *     router also holds
 */
public record RoutingDocument(
    long version,
    List<RouteRule> routes,
    List<PoolSpec> pools,
    boolean keysRequired,
    List<KeyHolder> holders,
    int maxBodyBytes) {
  /** Returns a document without a limit on bodies. */
  public RoutingDocument(
      long version,
      List<RouteRule> routes,
      List<PoolSpec> pools,
      boolean keysRequired,
      List<KeyHolder> holders) {
    this(version, routes, pools, keysRequired, holders, Integer.MAX_VALUE);
  }

  /**
   * Copies the lists and validates the references and the uniqueness of routes and keys.
   *
   * @throws IllegalArgumentException if a route names an unknown pool, two routes have the same
   *     host and prefix, two customers have the same key, or the size is below 1
   */
  public RoutingDocument {
    routes = List.copyOf(routes);
    pools = List.copyOf(pools);
    holders = List.copyOf(holders);
    checkRoutes(routes, pools);
    checkKeys(holders);
    if (maxBodyBytes < 1) {
      throw new IllegalArgumentException("the size of the largest body must be 1 or more");
    }
  }

  private static void checkRoutes(List<RouteRule> routes, List<PoolSpec> pools) {
    Set<PoolName> poolNames = pools.stream().map(PoolSpec::name).collect(Collectors.toSet());
    Set<String> hostsAndPrefixes = new HashSet<>();
    for (RouteRule route : routes) {
      if (!hostsAndPrefixes.add(route.host() + " " + route.pathPrefix())) {
        throw new IllegalArgumentException(
            "duplicate route for " + route.host() + route.pathPrefix());
      }
      for (WeightedPool weighted : route.split()) {
        if (!poolNames.contains(weighted.pool())) {
          throw new IllegalArgumentException(
              "route " + route.name() + " refers to the unknown pool " + weighted.pool());
        }
      }
    }
  }

  private static void checkKeys(List<KeyHolder> holders) {
    Set<KeyDigest> seenKeys = new HashSet<>();
    for (KeyHolder holder : holders) {
      for (KeyDigest key : holder.keys()) {
        if (!seenKeys.add(key)) {
          throw new IllegalArgumentException(
              "customer " + holder.customer() + " has a key that occurs more than once");
        }
      }
    }
  }
}
