package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.EngineSpec;
import io.jacinthquay.model.routing.PoolSpec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Factory methods for requests, pools and listings in tests. */
final class TestRequests {
  static final PoolName ENGINES = new PoolName("engines");
  static final PoolName PLAIN = new PoolName("plain");
  static final DomainId LOCAL = new DomainId("a");
  static final DomainId REMOTE = new DomainId("b");
  static final long MILLI = 1_000_000L;

  private TestRequests() {}

  static PoolSpec engines(double coldPerSecond) {
    return engines(coldPerSecond, new EngineSpec(64, 500_000, 6, 0));
  }

  static PoolSpec engines(double coldPerSecond, EngineSpec engine) {
    return new PoolSpec(
        ENGINES, "/health", 100, 3, coldPerSecond, Optional.of(engine), Optional.empty());
  }

  static PoolSpec plain() {
    return new PoolSpec(PLAIN, "/health", 100, 0, 0, Optional.empty(), Optional.empty());
  }

  static PoolRequest prompt(int tier, int gapMillis, long shared, int sharedTokens, int ownTokens) {
    return prompt(tier, gapMillis, List.of(shared, shared + 1), sharedTokens, ownTokens);
  }

  static PoolRequest prompt(
      int tier, int gapMillis, List<Long> ids, int sharedTokens, int ownTokens) {
    return new PoolRequest(
        ENGINES,
        new Tier(tier),
        sharedTokens + ownTokens,
        100,
        List.of(new PromptPart(ids.get(0), sharedTokens), new PromptPart(ids.get(1), ownTokens)),
        1_000,
        gapMillis,
        0,
        10_000 * MILLI,
        Optional.empty());
  }

  static PoolRequest call(int tier) {
    return new PoolRequest(
        PLAIN, new Tier(tier), 0, 0, List.of(), 100, 0, 0, 1_000 * MILLI, Optional.empty());
  }

  static UpstreamListing listing(String name, PoolName pool, DomainId domain, long coldMillis) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("10.0.0.1", 80);
    int slots = pool.equals(PLAIN) ? 2 : 64;
    return new UpstreamListing(
        new UpstreamId(name),
        pool,
        domain,
        address,
        false,
        false,
        slots,
        coldMillis,
        SoftwareVersion.UNSPECIFIED);
  }

  static List<UpstreamListing> listings(PoolName pool, int count) {
    List<UpstreamListing> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(listing("u" + i, pool, LOCAL, 0));
    }
    return all;
  }
}
