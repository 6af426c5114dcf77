package io.jacinthquay.keeper.service;

import io.jacinthquay.keeper.state.KeeperState;
import io.jacinthquay.keeper.state.Tables;
import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.ChangeMessage;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.FeedPosition;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Serves configuration changes to readers that poll, and tells how long their key tables stay
 * current.
 *
 * <p>Each page states for how long the key table is current: for the key lease, from the instant at
 * which a quorum last confirmed that the state of this keeper was the newest.
 */
public final class ConfigFeedService {
  /** Maximum number of changes in one page. */
  static final int MAX_CHANGES = 500;

  private static final int WAITS_PER_KEY_LEASE = 4;

  private final KeeperState state;
  private final QuorumContact quorum;
  private final ReaderTable readers;
  private final Signal configChanged;
  private final Signal readerUpdated;
  private final Duration keyLease;

  /**
   * Creates a service.
   *
   * @param state the state to read
   * @param quorum the time of the last contact with a quorum
   * @param readers records the positions of readers
   * @param configChanged signal that is raised after each new configuration version
   * @param readerUpdated signal to raise after each position
   * @param keyLease how long a key table is current after it was confirmed
   */
  public ConfigFeedService(
      KeeperState state,
      QuorumContact quorum,
      ReaderTable readers,
      Signal configChanged,
      Signal readerUpdated,
      Duration keyLease) {
    this.state = state;
    this.quorum = quorum;
    this.readers = readers;
    this.configChanged = configChanged;
    this.readerUpdated = readerUpdated;
    this.keyLease = keyLease;
  }

  /**
   * Waits for a version newer than the reader's and returns a page of changes, which is empty if
   * there is none.
   *
   * @param position the reader's position
   * @param waitMillis maximum wait in milliseconds; limited to a quarter of the key lease
   */
  public ConfigPage changes(FeedPosition position, int waitMillis) {
    long arrivedNanos = System.nanoTime();
    readers.recordPosition(position);
    readerUpdated.raise();
    long wait = Math.min(waitMillis, keyLease.toMillis() / WAITS_PER_KEY_LEASE);
    boolean newer =
        configChanged.await(() -> version(state.tables()) > position.getInForce(), wait);
    OptionalLong confirmed = quorum.confirmedNanos();
    Tables tables = state.tables();
    ConfigPage page = newer ? page(tables, position.getInForce()) : emptyPage(tables);
    return page.setKeysCurrentMillis(keysCurrentMillis(arrivedNanos, confirmed));
  }

  private long keysCurrentMillis(long arrivedNanos, OptionalLong confirmed) {
    if (confirmed.isEmpty()) {
      return 0;
    }
    long confirmedMillis = TimeUnit.NANOSECONDS.toMillis(confirmed.getAsLong() - arrivedNanos);
    return Math.max(0, keyLease.toMillis() + confirmedMillis);
  }

  private static long version(Tables tables) {
    return tables.config().version();
  }

  private static ConfigPage emptyPage(Tables tables) {
    return new ConfigPage(version(tables), false, List.of(), 0);
  }

  private static ConfigPage page(Tables tables, long inForce) {
    Optional<List<ChangeMessage>> deltas = tables.config().changesAfter(inForce, MAX_CHANGES);
    return deltas
        .map(changes -> new ConfigPage(version(tables), false, changes, 0))
        .orElseGet(() -> snapshotPage(tables));
  }

  private static ConfigPage snapshotPage(Tables tables) {
    List<EditMessage> edits =
        tables.config().policy().entities().entrySet().stream()
            .map(entry -> EntityEdit.set(entry.getKey(), entry.getValue()))
            .map(ConfigMessages::toMessage)
            .toList();
    ChangeMessage snapshot = new ChangeMessage(version(tables), edits);
    return new ConfigPage(version(tables), true, List.of(snapshot), 0);
  }
}
