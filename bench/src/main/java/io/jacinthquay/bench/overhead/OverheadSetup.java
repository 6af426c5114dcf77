package io.jacinthquay.bench.overhead;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.PolicyParser;
import io.jacinthquay.router.adapter.http.HttpEngineMonitor;
import io.jacinthquay.router.adapter.http.JsonHttp;
import io.jacinthquay.router.port.Claim;
import io.jacinthquay.router.port.ClaimStatus;
import io.jacinthquay.router.port.ClaimStore;
import io.jacinthquay.router.port.ConfigPosition;
import io.jacinthquay.router.port.ConfigUpdate;
import io.jacinthquay.router.port.RecordedResponse;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.router.service.RouterOptions;
import io.jacinthquay.router.service.RouterPorts;
import io.jacinthquay.router.service.RouterService;
import io.jacinthquay.testkit.engine.EngineOptions;
import io.jacinthquay.testkit.engine.FakeEngine;
import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** One engine and one router in this process, reached over the loopback interface. */
final class OverheadSetup implements AutoCloseable {
  private static final String KEY = "bench-key-0123456789abcdef";

  /** Request limits of the engine, far above the default load. */
  private static final int ENGINE_LIMIT = 10_000;

  private static final int ENGINE_THREADS = 2;
  private static final String PATH = "/v1/chat/completions";

  private static final String POLICY =
      """
      {
        "domains": [{"name": "a", "region": "r"}],
        "classes": [{"name": "quick", "tier": 0, "first_token_ms": 60000}],
        "pools": [{"name": "engines", "kind": "engine"}],
        "models": [{"name": "m", "pool": "engines", "max_output_tokens": 1000000}],
        "customers": [{"name": "c", "default_class": "quick", "max_in_flight": 100000}],
        "routes": []
      }
      """;

  private final JsonHttp http = new JsonHttp(Duration.ofSeconds(2));
  private final FakeEngine engine;
  private final RouterService router;

  OverheadSetup(int ioThreads) {
    EngineOptions options =
        new EngineOptions(
            "engine",
            Duration.ofMillis(1),
            0,
            ENGINE_LIMIT,
            ENGINE_LIMIT,
            0,
            Duration.ofMillis(50),
            1,
            ENGINE_THREADS);
    engine = new FakeEngine(options);
    engine.start();
    InetSocketAddress listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    RouterOptions routerOptions =
        RouterOptions.of(new VmId("bench"), new DomainId("a"), listen).withIoThreads(ioThreads);
    router = RouterService.create(routerOptions, ports());
    router.start();
    while (!router.isReady() || router.listedVmCount() == 0) {
      Thread.onSpinWait();
    }
  }

  private RouterPorts ports() {
    ConfigChange change = change();
    VmEntry entry =
        new VmEntry(
            new UpstreamId("engine"),
            new DomainId("a"),
            engine.address(),
            VmEntry.Kind.ENGINE,
            Optional.of(new PoolName("engines")),
            false,
            false,
            List.of(),
            ENGINE_LIMIT);
    return RouterPorts.withoutPeers(
        (position, wait) -> update(position, wait, change),
        new NoClaims(),
        counts -> Either.right(null),
        () -> Either.right(List.of(entry)),
        new HttpEngineMonitor(http));
  }

  /** Returns the only change, or waits if the router has it already. */
  private static Either<Failure, ConfigUpdate> update(
      ConfigPosition position, Duration wait, ConfigChange change) {
    boolean upToDate = position.inForce().compareTo(change.version()) >= 0;
    if (upToDate) {
      sleep(wait);
    }
    List<ConfigChange> changes = upToDate ? List.of() : List.of(change);
    return Either.right(new ConfigUpdate(change.version(), false, changes, Duration.ofMinutes(1)));
  }

  private static void sleep(Duration wait) {
    try {
      Thread.sleep(wait.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static ConfigChange change() {
    List<EntityEdit> edits = new ArrayList<>();
    PolicyParser.parse(POLICY)
        .get()
        .entities()
        .forEach((key, json) -> edits.add(EntityEdit.set(key, json)));
    EntityKey key = new EntityKey(EntityKind.KEY, KeyDigest.ofKey(KEY).hex());
    edits.add(EntityEdit.set(key, "{\"customer\":\"c\"}"));
    return new ConfigChange(new ConfigVersion(1), edits);
  }

  InetSocketAddress engine() {
    return engine.address();
  }

  InetSocketAddress router() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), router.port());
  }

  byte[] directRequest() {
    return request(1, "x-request-id: r");
  }

  byte[] routedRequest() {
    return request(1, "authorization: Bearer " + KEY);
  }

  byte[] longDirectRequest() {
    return request(1_000_000, "x-request-id: r");
  }

  byte[] longRoutedRequest() {
    return request(1_000_000, "authorization: Bearer " + KEY);
  }

  private static byte[] request(int tokens, String header) {
    String body =
        "{\"model\":\"m\",\"stream\":true,\"max_tokens\":"
            + tokens
            + ",\"messages\":[{\"role\":\"user\",\"content\":\""
            + "the zip of this coat is stuck and the runner is bent ".repeat(10)
            + "\"}]}";
    String head =
        "POST "
            + PATH
            + " HTTP/1.1\r\nhost: bench\r\n"
            + header
            + "\r\ncontent-type: application/json\r\ncontent-length: "
            + body.length()
            + "\r\n\r\n";
    return (head + body).getBytes(StandardCharsets.US_ASCII);
  }

  @Override
  public void close() {
    router.stop();
    engine.stop();
    http.close();
  }

  /** A claim store that is never used: the measured requests have no idempotency key. */
  private static final class NoClaims implements ClaimStore {
    @Override
    public CompletionStage<Either<Failure, ClaimStatus>> begin(Claim claim) {
      return unavailable();
    }

    @Override
    public CompletionStage<Either<Failure, Void>> complete(Claim claim, RecordedResponse answer) {
      return unavailable();
    }

    @Override
    public CompletionStage<Either<Failure, Void>> release(Claim claim) {
      return unavailable();
    }

    private static <T> CompletionStage<Either<Failure, T>> unavailable() {
      return CompletableFuture.completedFuture(
          Either.left(Failure.of(ResultCode.CLAIM_UNAVAILABLE)));
    }
  }
}
