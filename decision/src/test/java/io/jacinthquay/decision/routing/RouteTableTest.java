package io.jacinthquay.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RouteName;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.routing.KeyHolder;
import io.jacinthquay.model.routing.PoolSpec;
import io.jacinthquay.model.routing.RequestKind;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.model.routing.WeightedPool;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouteTableTest {
  private static final PoolName FIRST = new PoolName("first");
  private static final PoolName SECOND = new PoolName("second");

  private static RouteRule route(String name, String host, String prefix, WeightedPool... split) {
    return new RouteRule(
        new RouteName(name),
        host,
        prefix,
        RequestKind.IDEMPOTENT,
        1_000,
        100,
        new Tier(0),
        List.of(split),
        2,
        true,
        false,
        false,
        0);
  }

  private static PoolSpec pool(PoolName name) {
    return new PoolSpec(name, "/health", 10, 0, 0, Optional.empty(), Optional.empty());
  }

  private static RoutingDocument document(List<RouteRule> routes, List<KeyHolder> holders) {
    return new RoutingDocument(1, routes, List.of(pool(FIRST), pool(SECOND)), true, holders);
  }

  @ParameterizedTest
  @CsvSource({
    "a.example, /x/1, short",
    "A.Example:80, /x/y/1, long",
    "a.example, /x/yz, short",
    "a.example, /x, none",
    "b.example, /x/1, none",
    "a.example, /z/x/1, none"
  })
  void findTheLongestPrefix(String host, String path, String expected) {
    WeightedPool all = new WeightedPool(FIRST, 1);
    RouteTable table =
        new RouteTable(
            document(
                List.of(
                    route("short", "a.example", "/x/", all),
                    route("long", "a.example", "/x/y/", all)),
                List.of()));
    assertEquals(expected, table.route(host, path).map(r -> r.name().value()).orElse("none"));
  }

  @ParameterizedTest
  @CsvSource({"0.0, second", "0.899, second", "0.9, first", "0.999, first"})
  void choosePoolsByWeight(double draw, String expected) {
    RouteRule rule =
        route(
            "r",
            "a.example",
            "/",
            new WeightedPool(new PoolName("unused"), 0),
            new WeightedPool(SECOND, 90),
            new WeightedPool(FIRST, 10));
    assertEquals(expected, RouteTable.pool(rule, draw).value());
  }

  @Test
  void rejectInconsistentDocuments() {
    WeightedPool all = new WeightedPool(FIRST, 1);
    RouteRule first = route("one", "a.example", "/x/", all);
    RouteRule samePrefix = route("two", "a.example", "/x/", all);
    RouteRule unknown = route("three", "a.example", "/y/", new WeightedPool(new PoolName("no"), 1));
    KeyDigest key = KeyDigest.ofKey("key");
    KeyHolder holder = new KeyHolder(new CustomerId("a"), Set.of(key), Optional.empty());
    KeyHolder otherHolder = new KeyHolder(new CustomerId("b"), Set.of(key), Optional.empty());
    assertThrows(
        IllegalArgumentException.class, () -> document(List.of(first, samePrefix), List.of()));
    assertThrows(IllegalArgumentException.class, () -> document(List.of(unknown), List.of()));
    assertThrows(
        IllegalArgumentException.class,
        () -> document(List.of(first), List.of(holder, otherHolder)));
    assertThrows(
        IllegalArgumentException.class,
        () -> route("four", "a.example", "/z/", new WeightedPool(FIRST, 0)));
  }

  @Test
  void findTheHolderOfAKey() {
    KeyHolder holder =
        new KeyHolder(
            new CustomerId("a"), Set.of(KeyDigest.ofKey("key")), Optional.of(new Tier(1)));
    RouteTable table = new RouteTable(document(List.of(), List.of(holder)));
    assertEquals(Optional.of(holder), table.holder(KeyDigest.ofKey("key")));
    assertEquals(Optional.empty(), table.holder(KeyDigest.ofKey("other")));
  }
}
