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
import org.apache.thrift.transport.TTransport;

/** Builds the tables out of the items of one snapshot. */
final class SnapshotReader {
  private final TProtocol in;
  private final TTransport transport;
  private final List<EditMessage> entities = new ArrayList<>();
  private Tables tables = Tables.EMPTY;
  private SnapshotItem last;
  private long version;

  SnapshotReader(TProtocol in, TTransport transport) {
    this.in = in;
    this.transport = transport;
  }

  /**
   * Reads to the last item.
   *
   * @throws TException if the stream ends early or is malformed
   * @throws IllegalStateException if the items do not make up a whole snapshot
   */
  Tables readAll() throws TException {
    SnapshotItem first = next();
    if (first.getSetField() != SnapshotItem._Fields.HEADER) {
      throw new IllegalStateException("it begins without a header");
    }
    takeHeader(first.getHeader());
    long items = 1;
    for (SnapshotItem item = next();
        item.getSetField() != SnapshotItem._Fields.TOTAL;
        item = next()) {
      take(item);
      items++;
    }
    return finish(items);
  }

  private SnapshotItem next() throws TException {
    transport.updateKnownMessageSize(-1);
    SnapshotItem item = new SnapshotItem();
    item.read(in);
    last = item;
    return item;
  }

  private Tables finish(long items) {
    if (last.getTotal() != items) {
      throw new IllegalStateException(items + " items instead of " + last.getTotal());
    }
    List<EntityEdit> edits =
        ConfigMessages.editsFromMessages(entities)
            .getOrElseThrow(failure -> new IllegalStateException(failure.detail()));
    return tables.with(tables.config().restored(version, edits));
  }

  private void takeHeader(SnapshotHeader header) {
    if (header.getFormat() != SnapshotCodec.FORMAT) {
      throw new IllegalStateException("unknown format " + header.getFormat());
    }
    Stamp stamp = header.getStamp();
    tables =
        tables.with(new StateClock(stamp.getTerm(), stamp.getClockMillis(), stamp.getWallMillis()));
    version = header.getConfigVersion();
  }

  private void take(SnapshotItem item) {
    switch (item.getSetField()) {
      case ENTITY -> entities.add(item.getEntity());
      case CHANGE, ANSWER -> tables = tables.with(config(item));
      case LEASE -> tables = tables.with(tables.leases().restored(lease(item.getLease())));
      case CLAIM -> tables = tables.with(tables.claims().restored(claim(item.getClaim())));
      case INCARNATION -> tables = tables.with(tables.claims().restored(item.getIncarnation()));
      case COUNTER -> takeCounter(item.getCounter());
      case WINDOW -> tables = tables.with(tables.usage().restored(item.getWindow()));
      case ORDER -> tables = tables.with(tables.orders().restored(item.getOrder()));
      default -> throw new IllegalStateException("unexpected item " + item.getSetField());
    }
  }

  private ConfigTable config(SnapshotItem item) {
    ConfigTable config = tables.config();
    return item.isSetChange()
        ? new ConfigTable(
            config.policy(), config.answers(), config.log().restored(item.getChange()))
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

  private void takeCounter(StoredCounter stored) {
    Amount sealed =
        new Amount(
            stored.getSealedRequests(),
            stored.getSealedInputTokens(),
            stored.getSealedOutputTokens());
    Counter counter = new Counter(Amount.of(stored.getCounted()), sealed);
    tables = tables.with(tables.usage().restored(CounterKey.of(stored.getCounted()), counter));
  }
}
