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
 * Feeds readers with changes and tells how long their key tables stay current.
 *
 * <p>A page also answers how long keys are current: the key lease from the instant at which this
 * keeper last knew, through a quorum, that its state was the newest.
 */
public final class ConfigFeedService {
  /** Most changes in one page. */
  static final int MOST_CHANGES = 500;

  private static final int WAITS_PER_KEY_LEASE = 4;

  private final KeeperState state;
  private final QuorumContact quorum;
  private final ReaderTable readers;
  private final Signal configChanged;
  private final Signal readerHeard;
  private final Duration keyLease;

  /**
   * Returns a service.
   *
   * @param state the state to read
   * @param quorum tells when a quorum was last heard from
   * @param readers takes the positions
   * @param configChanged raised after each new configuration version
   * @param readerHeard is raised after each position
   * @param keyLease how long a key table is current once confirmed
   */
  public ConfigFeedService(
      KeeperState state,
      QuorumContact quorum,
      ReaderTable readers,
      Signal configChanged,
      Signal readerHeard,
      Duration keyLease) {
    this.state = state;
    this.quorum = quorum;
    this.readers = readers;
    this.configChanged = configChanged;
    this.readerHeard = readerHeard;
    this.keyLease = keyLease;
  }

  /**
   * Waits for a newer version than the reader's and returns a page.
   *
   * @param position the reader's position
   * @param waitMillis longest wait; never more than a quarter of the key lease
   */
  public ConfigPage changes(FeedPosition position, int waitMillis) {
    long arrived = System.nanoTime();
    readers.heard(position);
    readerHeard.raise();
    long wait = Math.min(waitMillis, keyLease.toMillis() / WAITS_PER_KEY_LEASE);
    boolean newer =
        configChanged.await(() -> version(state.tables()) > position.getInForce(), wait);
    OptionalLong confirmed = quorum.confirmedNanos();
    Tables tables = state.tables();
    ConfigPage page = newer ? page(tables, position.getInForce()) : emptyPage(tables);
    return page.setKeysCurrentMillis(keysCurrentMillis(arrived, confirmed));
  }

  private long keysCurrentMillis(long arrived, OptionalLong confirmed) {
    if (confirmed.isEmpty()) {
      return 0;
    }
    long shift = TimeUnit.NANOSECONDS.toMillis(confirmed.getAsLong() - arrived);
    return Math.max(0, keyLease.toMillis() + shift);
  }

  private static long version(Tables tables) {
    return tables.config().version();
  }

  private static ConfigPage emptyPage(Tables tables) {
    return new ConfigPage(version(tables), false, List.of(), 0);
  }

  private static ConfigPage page(Tables tables, long inForce) {
    Optional<List<ChangeMessage>> deltas = tables.config().changesAfter(inForce, MOST_CHANGES);
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
    ChangeMessage whole = new ChangeMessage(version(tables), edits);
    return new ConfigPage(version(tables), true, List.of(whole), 0);
  }
}
