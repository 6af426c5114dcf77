package io.jacinthquay.router.service.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotOptions;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.EntityKey;
import io.jacinthquay.model.policy.EntityKind;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.router.port.VmEntry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Tests of {@link AdmissionDispatcher}. */
class AdmissionDispatcherTest {
  private static final VmId SELF = new VmId("entry-1");
  private static final DomainId DOMAIN = new DomainId("a");
  private static final PoolName POOL = new PoolName("engines");
  private static final long TWO_LEASES_NANOS = 2 * SlotOptions.defaults().leaseNanos();
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final AdmissionDispatcher dispatcher =
      new AdmissionDispatcher(SELF, 1, DOMAIN, name -> Optional.empty(), (to, message) -> {}, 1);

  private static Policy policy() {
    EntityKey key = new EntityKey(EntityKind.POOL, POOL.value());
    List<EntityEdit> edits =
        List.of(EntityEdit.set(key, "{\"name\":\"engines\",\"kind\":\"engine\"}"));
    return Policy.empty().apply(new ConfigChange(new ConfigVersion(1), edits)).get();
  }

  private static VmEntry engine() {
    return new VmEntry(
        new UpstreamId("engine-1"),
        DOMAIN,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
        VmEntry.Kind.ENGINE,
        Optional.of(POOL),
        false,
        false,
        List.of(),
        4);
  }

  /**
   * Guards against a first tick that is never run because it is already due: the session with the
   * slot owner must be renewed without any other event.
   */
  @Test
  void renewsTheOwnerSessionByTicksAlone() {
    dispatcher.updateUpstreams(List.of(engine()), policy());
    dispatcher.updateDomainView(DOMAIN, DomainView.alone(SELF));
    tickUntil(() -> !isSessionValid(), TWO_LEASES_NANOS);
    tickUntil(this::isSessionValid, TIMEOUT_NANOS);
    assertTrue(isSessionValid());
  }

  private boolean isSessionValid() {
    return dispatcher.status().get(new SlotScope(POOL, DOMAIN)).sessionValid();
  }

  private void tickUntil(BooleanSupplier condition, long timeoutNanos) {
    long end = System.nanoTime() + timeoutNanos;
    while (!condition.getAsBoolean() && System.nanoTime() < end) {
      dispatcher.tick();
      Thread.onSpinWait();
    }
  }
}
