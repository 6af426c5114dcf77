package io.jacinthquay.keeper.state;

import io.jacinthquay.model.policy.EntityEdit;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.HistoryLine;
import io.jacinthquay.wire.gen.SealedWindow;
import io.jacinthquay.wire.gen.SnapshotHeader;
import io.jacinthquay.wire.gen.SnapshotItem;
import io.jacinthquay.wire.gen.StoredChange;
import io.jacinthquay.wire.gen.StoredClaim;
import io.jacinthquay.wire.gen.StoredCounter;
import io.jacinthquay.wire.gen.StoredIncarnation;
import io.jacinthquay.wire.gen.StoredLease;
import io.jacinthquay.wire.transport.BoundedProtocol;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TIOStreamTransport;

/** Writes the tables as a stream of snapshot items and reads them back. */
final class SnapshotCodec {
  /** Format version; incremented when items change in a way that older readers cannot skip. */
  static final int FORMAT = 1;

  private static final int BUFFER_BYTES = 64 << 10;

  private final TProtocol out;
  private long itemCount;

  private SnapshotCodec(TProtocol out) {
    this.out = out;
  }

  /**
   * Writes the tables.
   *
   * @throws IOException if the stream fails or an item cannot be encoded
   */
  static void write(Tables tables, OutputStream stream) throws IOException {
    try {
      BufferedOutputStream buffered = new BufferedOutputStream(stream, BUFFER_BYTES);
      SnapshotCodec codec =
          new SnapshotCodec(new TCompactProtocol(new TIOStreamTransport(buffered)));
      codec.writeAll(tables);
      buffered.flush();
    } catch (TException e) {
      throw new IOException(e);
    }
  }

  private void writeAll(Tables tables) throws TException {
    long version = tables.config().version();
    put(SnapshotItem.header(new SnapshotHeader(FORMAT, tables.clock().toStamp(), version)));
    writeConfig(tables.config());
    for (Lease lease : tables.leases().leases().values()) {
      put(
          SnapshotItem.lease(
              new StoredLease(
                  lease.name(), lease.holder(), lease.fencingToken(), lease.expiresMillis())));
    }
    writeClaims(tables.claims());
    writeUsage(tables.usage());
    for (var order : tables.orders().open().values()) {
      put(SnapshotItem.order(order));
    }
    for (var order : tables.orders().done().values()) {
      put(SnapshotItem.order(order));
    }
    put(SnapshotItem.total(itemCount));
  }

  private void writeConfig(ConfigTable config) throws TException {
    for (var entity : config.policy().entities().entrySet()) {
      EntityEdit edit = EntityEdit.set(entity.getKey(), entity.getValue());
      put(SnapshotItem.entity(ConfigMessages.toMessage(edit)));
    }
    for (var answer : config.answers().byId().values()) {
      put(SnapshotItem.answer(answer));
    }
    for (HistoryLine line : config.log().lines().values()) {
      StoredChange stored = new StoredChange();
      stored.setLine(line);
      config.log().changes().get(line.getVersion()).forEach(stored::setChange);
      put(SnapshotItem.change(stored));
    }
  }

  private void writeClaims(ClaimTable claims) throws TException {
    for (var entry : claims.incarnations()) {
      put(SnapshotItem.incarnation(new StoredIncarnation(entry._1(), entry._2())));
    }
    for (Claim claim : claims.running().values()) {
      put(SnapshotItem.claim(toStored(claim)));
    }
    for (Claim claim : claims.ended().values()) {
      put(SnapshotItem.claim(toStored(claim)));
    }
  }

  private static StoredClaim toStored(Claim claim) {
    StoredClaim stored = new StoredClaim();
    stored.setRequest(claim.request());
    stored.setState(claim.state());
    stored.setSinceClockMillis(claim.sinceMillis());
    claim.result().ifPresent(stored::setResult);
    return stored;
  }

  private void writeUsage(UsageTable usage) throws TException {
    for (UsageShard shard : usage.shards().values()) {
      for (SealedWindow window : shard.windows().values()) {
        put(SnapshotItem.window(window));
      }
      for (var entry : shard.settled()) {
        put(SnapshotItem.counter(toStored(entry._1(), entry._2())));
      }
      for (var entry : shard.pending()) {
        put(SnapshotItem.counter(toStored(entry._1(), entry._2())));
      }
    }
  }

  private static StoredCounter toStored(CounterKey key, Counter counter) {
    return new StoredCounter(
        UsageTable.toMessage(key, counter.counted()),
        counter.sealed().requests(),
        counter.sealed().inputTokens(),
        counter.sealed().outputTokens());
  }

  private void put(SnapshotItem item) throws TException {
    item.write(out);
    itemCount++;
  }

  /**
   * Reads the tables.
   *
   * @throws IOException if the stream fails or does not hold a complete snapshot
   */
  static Tables read(InputStream stream) throws IOException {
    try {
      return new SnapshotReader(protocol(stream)).readAll();
    } catch (TException | IllegalStateException | NullPointerException e) {
      throw new IOException("cannot read the snapshot: " + e.getMessage(), e);
    }
  }

  /** Returns a protocol that reads the items of a snapshot from a stream. */
  static TProtocol protocol(InputStream stream) throws TException {
    return BoundedProtocol.ofStoredState(new StoredStreamTransport(stream));
  }
}
