package io.jacinthquay.decision.routing;

import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.routing.KeyHolder;
import io.jacinthquay.model.routing.PoolSpec;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.model.routing.WeightedPool;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * An index of a routing document for request lookups. Immutable.
 *
 * <pre>{@code
 * Optional<RouteRule> route = table.route("shop.example", "/tickets/17");
 * }</pre>
 */
public final class RouteTable {
  private final RoutingDocument document;
  private final Map<String, Map<String, RouteRule>> routes = new HashMap<>();
  private final Map<KeyDigest, KeyHolder> holders = new HashMap<>();
  private final Map<PoolName, PoolSpec> pools = new LinkedHashMap<>();

  /** Returns the index of a document. */
  public RouteTable(RoutingDocument document) {
    this.document = document;
    for (RouteRule route : document.routes()) {
      routes
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
          .put(route.pathPrefix(), route);
    }
    document.holders().forEach(holder -> holder.keys().forEach(key -> holders.put(key, holder)));
    document.pools().forEach(pool -> pools.put(pool.name(), pool));
  }

  /** Returns the version that the operator gave the document. */
  public long version() {
    return document.version();
  }

  /** Returns the size of the largest body of a request, in bytes. */
  public int maxBodyBytes() {
    return document.maxBodyBytes();
  }

  /** Returns all pools by name. */
  public Map<PoolName, PoolSpec> pools() {
    return pools;
  }

  /** Returns whether requests of a route must carry a key. */
  public boolean needsKey(RouteRule route) {
    return document.keysRequired() && !route.open();
  }

  /** Returns the holder of a key. */
  public Optional<KeyHolder> holder(KeyDigest key) {
    return Optional.ofNullable(holders.get(key));
  }

  /**
   * Returns the route with the longest matching path prefix.
   *
   * @param host host of the request, with or without port, in upper or lower case
   * @param path path of the request, as sent
   */
  public Optional<RouteRule> route(String host, String path) {
    Map<String, RouteRule> prefixes = routes.get(withoutPort(host).toLowerCase(Locale.ROOT));
    if (prefixes == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      RouteRule route = prefixes.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
  }

  /**
   * Returns the pool for one request of a route, chosen by weight.
   *
   * @param draw a uniform random number, 0 or more and below 1
   */
  public static PoolName pool(RouteRule route, double draw) {
    double total = route.split().stream().mapToDouble(WeightedPool::weight).sum();
    double remaining = draw * total;
    PoolName selected = null;
    for (WeightedPool candidate : route.split()) {
      if (candidate.weight() > 0) {
        selected = candidate.pool();
        remaining -= candidate.weight();
        if (remaining < 0) {
          return selected;
        }
      }
    }
    return selected;
  }
}
