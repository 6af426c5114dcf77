package io.jacinthquay.router;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.PolicyDocument;
import io.jacinthquay.model.policy.PolicyParser;
import io.jacinthquay.router.adapter.http.HttpEngineMonitor;
import io.jacinthquay.router.adapter.http.HttpVmDirectory;
import io.jacinthquay.router.adapter.http.JsonHttp;
import io.jacinthquay.router.port.ConfigPosition;
import io.jacinthquay.router.port.ConfigSource;
import io.jacinthquay.router.port.ConfigUpdate;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.router.service.RouterPorts;
import io.jacinthquay.router.service.RouterService;
import io.jacinthquay.testkit.engine.EngineOptions;
import io.jacinthquay.testkit.engine.FakeEngine;
import io.jacinthquay.testkit.plain.FakePlainService;
import io.jacinthquay.testkit.platform.FakePlatform;
import io.jacinthquay.testkit.platform.FakeVm;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/** A router with fake upstreams, platform and stores, and the configuration that tests share. */
final class RouterFixture implements AutoCloseable {
  static final String KEY = "key-of-atlas-0123456789abcdef";
  static final String OTHER_KEY = "key-of-lakeshore-fedcba9876543210";
  static final String POLICY =
      """
      {
        "domains": [{"name": "a", "region": "r"}],
        "classes": [
          {"name": "quick", "tier": 0, "first_token_ms": 20000},
          {"name": "brief", "tier": 0, "first_token_ms": 300},
          {"name": "patient", "tier": 3, "first_token_ms": 60000, "must_finish": true}
        ],
        "pools": [
          {"name": "engines", "kind": "engine"},
          {"name": "apps", "kind": "plain"}
        ],
        "models": [{"name": "mender", "pool": "engines", "max_output_tokens": 100000}],
        "customers": [
          {"name": "atlas", "default_class": "quick", "classes": ["quick", "brief", "patient"]},
          {"name": "lakeshore", "default_class": "patient"}
        ],
        "routes": [
          {"name": "tickets", "prefix": "/tickets", "pool": "apps", "methods": ["GET"],
           "idempotent": true, "timeout_ms": 20000},
          {"name": "slots", "prefix": "/slots", "pool": "apps", "methods": ["POST"],
           "timeout_ms": 20000},
          {"name": "hours", "prefix": "/hours", "pool": "apps", "methods": ["GET"],
           "idempotent": true, "open": true, "class": "quick"}
        ]
      }
      """;

  final FakeEngine engine = new FakeEngine(EngineOptions.quick("engine-1"));
  final FakeEngine secondEngine = new FakeEngine(EngineOptions.quick("engine-2"));
  final FakePlainService plain = new FakePlainService();
  final FakePlatform platform = new FakePlatform(0);
  final TestConfig config = new TestConfig();
  final TestClaims claims = new TestClaims();
  final List<UsageCount> usage = new ArrayList<>();
  private final JsonHttp http = new JsonHttp(Duration.ofSeconds(5));
  final RouterService router;

  RouterFixture() {
    this(options -> options);
  }

  RouterFixture(UnaryOperator<RouterOptions> customizer) {
    engine.start();
    secondEngine.start();
    plain.start();
    platform.start();
    listOneEngine();
    InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    RouterOptions options =
        RouterOptions.of(new VmId("entry-1"), new DomainId("a"), listen)
            .withUsageWindow(Duration.ofHours(24));
    RouterPorts ports =
        RouterPorts.withoutPeers(
            config,
            claims,
            this::recordUsage,
            new HttpVmDirectory(http, platform.address()),
            new HttpEngineMonitor(http));
    router = RouterService.create(customizer.apply(options), ports);
    router.start();
    config.apply(List.of());
    await(router::isReady);
    await(() -> router.listedVmCount() == platform.vms().size());
  }

  private Either<Failure, Void> recordUsage(List<UsageCount> counts) {
    synchronized (usage) {
      usage.addAll(counts);
    }
    return Either.right(null);
  }

  /** Lists one engine and the plain service. */
  void listOneEngine() {
    platform.vms(
        List.of(
            FakeVm.engine("engine-1", "a", "engines", engine.address()),
            FakeVm.plain("app-1", "a", "apps", plain.address())));
  }

  /** Lists both engines and the plain service. */
  void listBothEngines() {
    platform.vms(
        List.of(
            FakeVm.engine("engine-1", "a", "engines", engine.address()),
            FakeVm.engine("engine-2", "a", "engines", secondEngine.address()),
            FakeVm.plain("app-1", "a", "apps", plain.address())));
    await(() -> router.listedVmCount() == 3);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), router.port());
  }

  /** Waits until a condition is true; fails after 30 seconds. */
  static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new AssertionError("the condition was not met in time");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    router.stop();
    http.close();
    platform.stop();
    plain.stop();
    engine.stop();
    secondEngine.stop();
  }

  /** A configuration source in memory. */
  static final class TestConfig implements ConfigSource {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final List<ConfigChange> changes = new ArrayList<>();
    private volatile boolean unavailable;
    private volatile long keysCurrentMillis = 60_000;

    TestConfig() {
      PolicyDocument document = PolicyParser.parse(POLICY).get();
      List<EntityEdit> edits = new ArrayList<>();
      document.entities().forEach((key, json) -> edits.add(EntityEdit.set(key, json)));
      edits.add(key(KEY, "atlas", false));
      edits.add(key(OTHER_KEY, "lakeshore", false));
      changes.add(new ConfigChange(new ConfigVersion(1), edits));
    }

    static EntityEdit key(String key, String customer, boolean withdrawn) {
      String json = "{\"customer\":\"" + customer + "\",\"withdrawn\":" + withdrawn + "}";
      return EntityEdit.set(new EntityKey(EntityKind.KEY, KeyDigest.ofKey(key).hex()), json);
    }

    /** Adds a change with the next version, unless it is empty, and wakes up pollers. */
    void apply(List<EntityEdit> edits) {
      lock.lock();
      try {
        if (!edits.isEmpty()) {
          changes.add(new ConfigChange(new ConfigVersion(changes.size() + 1), edits));
        }
        changed.signalAll();
      } finally {
        lock.unlock();
      }
    }

    void withdraw(String key, String customer) {
      apply(List.of(key(key, customer, true)));
    }

    void setUnavailable(boolean on) {
      unavailable = on;
    }

    void setKeysCurrentMillis(long millis) {
      keysCurrentMillis = millis;
    }

    @Override
    public Either<Failure, ConfigUpdate> poll(ConfigPosition position, Duration wait) {
      lock.lock();
      try {
        long leftNanos = Math.min(wait.toNanos(), TimeUnit.MILLISECONDS.toNanos(20));
        while (position.inForce().value() >= changes.size() && leftNanos > 0) {
          leftNanos = changed.awaitNanos(leftNanos);
        }
        if (unavailable) {
          return Either.left(Failure.of(ResultCode.NO_QUORUM));
        }
        int known = Math.toIntExact(position.inForce().value());
        return Either.right(
            new ConfigUpdate(
                new ConfigVersion(changes.size()),
                false,
                changes.subList(known, changes.size()),
                Duration.ofMillis(keysCurrentMillis)));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return Either.left(Failure.of(ResultCode.NO_QUORUM));
      } finally {
        lock.unlock();
      }
    }
  }

  /** Returns the last count of each model or route that was delivered for a customer. */
  Map<String, UsageCount> usageByModel(String customer) {
    Map<String, UsageCount> counts = new HashMap<>();
    synchronized (usage) {
      for (UsageCount count : usage) {
        if (count.customer().value().equals(customer)) {
          counts.put(count.model(), count);
        }
      }
    }
    return counts;
  }
}
