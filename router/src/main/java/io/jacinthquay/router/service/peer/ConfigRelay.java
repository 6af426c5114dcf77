package io.jacinthquay.router.service.peer;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.router.port.ConfigPosition;
import io.jacinthquay.router.port.ConfigUpdate;
import io.jacinthquay.router.service.config.KeyLease;
import io.jacinthquay.router.service.config.PolicyHolder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Serves the configuration in force to other routers.
 *
 * <p>A reader's key lease never outlasts the relay's own lease: the reader counts from the time of
 * its request, and the relay grants only the time left when it answers.
 */
public final class ConfigRelay {
  /** Time without a request after which a reader is no longer reported, in nanoseconds. */
  private static final long READER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final PolicyHolder policies;
  private final KeyLease lease;
  private final Map<VmId, Reader> readers = new ConcurrentHashMap<>();

  private record Reader(ConfigPosition position, long lastPollNanos) {}

  /** Returns a relay of the given policies and key lease. */
  public ConfigRelay(PolicyHolder policies, KeyLease lease) {
    this.policies = policies;
    this.lease = lease;
  }

  /** Returns the versions in force at the readers and at those that read from them, by name. */
  public Map<String, ConfigVersion> relayed() {
    long now = System.nanoTime();
    Map<String, ConfigVersion> versions = new HashMap<>();
    readers.values().removeIf(reader -> now - reader.lastPollNanos() > READER_EXPIRY_NANOS);
    readers.forEach(
        (name, reader) -> {
          versions.putAll(reader.position().relayed());
          versions.put(name.value(), reader.position().inForce());
        });
    return versions;
  }

  /**
   * Waits for a newer version than the reader's and returns what leads to it.
   *
   * @param reader the reading router
   * @param position what the reader has in force
   * @param wait longest time to wait for a newer version
   * @return the changes; none if there is no newer version after the wait
   */
  public ConfigUpdate changes(VmId reader, ConfigPosition position, Duration wait) {
    readers.put(reader, new Reader(position, System.nanoTime()));
    policies.history().awaitNewer(position.inForce(), wait);
    Policy policy = policies.view().policy();
    long leftNanos = Math.max(0, lease.remainingNanos(System.nanoTime()));
    Duration keysCurrent = Duration.ofNanos(leftNanos);
    if (policy.version().compareTo(position.inForce()) <= 0) {
      return new ConfigUpdate(policy.version(), false, List.of(), keysCurrent);
    }
    Optional<List<ConfigChange>> deltas =
        policies.history().between(position.inForce(), policy.version());
    return deltas
        .map(changes -> new ConfigUpdate(policy.version(), false, changes, keysCurrent))
        .orElseGet(() -> snapshot(policy, keysCurrent));
  }

  private static ConfigUpdate snapshot(Policy policy, Duration keysCurrent) {
    List<EntityEdit> edits = new ArrayList<>();
    policy.entities().forEach((key, json) -> edits.add(EntityEdit.set(key, json)));
    ConfigChange state = new ConfigChange(policy.version(), edits);
    return new ConfigUpdate(policy.version(), true, List.of(state), keysCurrent);
  }
}
