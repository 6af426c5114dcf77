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
 * One routing document, indexed for requests. Immutable.
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

  /** Indexes a document. */
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

  /** Returns the operator's number of the document. */
  public long version() {
    return document.version();
  }

  /** Returns all pools by name. */
  public Map<PoolName, PoolSpec> pools() {
    return pools;
  }

  /** Returns whether a request of a route needs a key. */
  public boolean needsKey(RouteRule route) {
    return document.keyed() && !route.open();
  }

  /** Returns who holds a key. */
  public Optional<KeyHolder> holder(KeyDigest key) {
    return Optional.ofNullable(holders.get(key));
  }

  /**
   * Returns the route with the longest prefix of a path.
   *
   * @param host the host that the caller named, with or without port, in any case
   * @param path the path as sent
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
   * Returns the pool for one request of a route.
   *
   * @param draw a number drawn evenly from 0, included, to 1, excluded
   */
  public static PoolName pool(RouteRule route, double draw) {
    double total = route.split().stream().mapToDouble(WeightedPool::weight).sum();
    double left = draw * total;
    PoolName last = null;
    for (WeightedPool part : route.split()) {
      if (part.weight() > 0) {
        last = part.pool();
        left -= part.weight();
        if (left < 0) {
          return last;
        }
      }
    }
    return last;
  }
}
