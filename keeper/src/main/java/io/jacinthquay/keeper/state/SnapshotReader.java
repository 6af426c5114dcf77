package io.jacinthquay.keeper.state;

import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.EditMessage;
import io.jacinthquay.wire.gen.SnapshotHeader;
import io.jacinthquay.wire.gen.SnapshotItem;
import io.jacinthquay.wire.gen.Stamp;
import io.jacinthquay.wire.gen.StoredClaim;
import io.jacinthquay.wire.gen.StoredCounter;
import io.jacinthquay.wire.gen.StoredLease;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;

/** Builds the tables from the items of a snapshot. */
final class SnapshotReader {
  private final TProtocol in;
  private final List<EditMessage> entities = new ArrayList<>();
  private Tables tables = Tables.EMPTY;
  private SnapshotItem last;
  private long version;

  SnapshotReader(TProtocol in) {
    this.in = in;
  }

  /**
   * Reads all items up to the last one.
   *
   * @throws TException if the stream ends early or is malformed
   * @throws IllegalStateException if the items do not form a complete snapshot
   */
  Tables readAll() throws TException {
    SnapshotItem first = next();
    if (first.getSetField() != SnapshotItem._Fields.HEADER) {
      throw new IllegalStateException("the first item is not a header");
    }
    readHeader(first.getHeader());
    long itemCount = 1;
    for (SnapshotItem item = next();
        item.getSetField() != SnapshotItem._Fields.TOTAL;
        item = next()) {
      add(item);
      itemCount++;
    }
    return finish(itemCount);
  }

  private SnapshotItem next() throws TException {
    in.getTransport().updateKnownMessageSize(-1);
    SnapshotItem item = new SnapshotItem();
    item.read(in);
    last = item;
    return item;
  }

  private Tables finish(long itemCount) {
    if (last.getTotal() != itemCount) {
      throw new IllegalStateException(itemCount + " items instead of " + last.getTotal());
    }
    List<EntityEdit> edits =
        ConfigMessages.editsFromMessages(entities)
            .getOrElseThrow(failure -> new IllegalStateException(failure.detail()));
    return tables.with(tables.config().withRestored(version, edits));
  }

  private void readHeader(SnapshotHeader header) {
    if (header.getFormat() != SnapshotCodec.FORMAT) {
      throw new IllegalStateException("unknown format " + header.getFormat());
    }
    Stamp stamp = header.getStamp();
    tables =
        tables.with(new StateClock(stamp.getTerm(), stamp.getClockMillis(), stamp.getWallMillis()));
    version = header.getConfigVersion();
  }

  private void add(SnapshotItem item) {
    switch (item.getSetField()) {
      case ENTITY -> entities.add(item.getEntity());
      case CHANGE, ANSWER -> tables = tables.with(config(item));
      case LEASE -> tables = tables.with(tables.leases().withRestored(lease(item.getLease())));
      case CLAIM -> tables = tables.with(tables.claims().withRestored(claim(item.getClaim())));
      case INCARNATION -> tables = tables.with(tables.claims().withRestored(item.getIncarnation()));
      case COUNTER -> addCounter(item.getCounter());
      case WINDOW -> tables = tables.with(tables.usage().withRestored(item.getWindow()));
      case ORDER -> tables = tables.with(tables.orders().withRestored(item.getOrder()));
      default -> throw new IllegalStateException("unexpected item " + item.getSetField());
    }
  }

  private ConfigTable config(SnapshotItem item) {
    ConfigTable config = tables.config();
    return item.isSetChange()
        ? new ConfigTable(
            config.policy(), config.answers(), config.log().withRestored(item.getChange()))
        : new ConfigTable(config.policy(), config.answers().with(item.getAnswer()), config.log());
  }

  private static Lease lease(StoredLease stored) {
    return new Lease(
        stored.getName(), stored.getHolder(), stored.getFencing(), stored.getExpiresClockMillis());
  }

  private static Claim claim(StoredClaim stored) {
    return new Claim(
        stored.getRequest(),
        stored.getState(),
        Optional.ofNullable(stored.getResult()),
        stored.getSinceClockMillis());
  }

  private void addCounter(StoredCounter stored) {
    UsageAmount sealed =
        new UsageAmount(
            stored.getSealedRequests(),
            stored.getSealedInputTokens(),
            stored.getSealedOutputTokens());
    Counter counter = new Counter(UsageAmount.of(stored.getCounted()), sealed);
    tables = tables.with(tables.usage().withRestored(CounterKey.of(stored.getCounted()), counter));
  }
}
