package io.jacinthquay.control.state;

import io.jacinthquay.consensus.SnapshotWriter;
import io.jacinthquay.consensus.StateMachine;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.keeper.state.ThriftCodec;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.convert.QuarantineMessages;
import io.jacinthquay.wire.gen.CloseDomainCommand;
import io.jacinthquay.wire.gen.ControlCommand;
import io.jacinthquay.wire.gen.ControlSnapshot;
import io.jacinthquay.wire.gen.DocumentCommand;
import io.jacinthquay.wire.gen.PoolVersionsCommand;
import io.jacinthquay.wire.gen.PoolVersionsMessage;
import io.jacinthquay.wire.gen.QuarantinePartCommand;
import io.jacinthquay.wire.gen.ReleasePartCommand;
import io.jacinthquay.wire.gen.SealCountsCommand;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TException;

/** The state machine of the control VMs: applies commands to the tables, in log order. */
public final class ControlState implements StateMachine {
  private static final byte[] NO_RESULT = new byte[0];

  private volatile ControlTables tables = ControlTables.EMPTY;

  /** Returns the newest state of this replica. */
  public ControlTables tables() {
    return tables;
  }

  /** Returns the command that puts a document into force. */
  public static byte[] documentCommand(long version, byte[] content) {
    DocumentCommand command = new DocumentCommand();
    command.setVersion(version).setContent(content);
    return ThriftCodec.encode(ControlCommand.document(command));
  }

  /** Returns the command that closes or opens a failure domain. */
  public static byte[] closeDomainCommand(String domain, boolean closed) {
    return ThriftCodec.encode(ControlCommand.closeDomain(new CloseDomainCommand(domain, closed)));
  }

  /** Returns the command that seals the counts of a window: no later command changes them. */
  public static byte[] sealCommand(long window, java.util.Map<String, Long> counts) {
    return ThriftCodec.encode(ControlCommand.sealCounts(new SealCountsCommand(window, counts)));
  }

  /** Returns the command that quarantines a part of a prompt, or replaces its entry. */
  public static byte[] quarantineCommand(QuarantinedPart part) {
    QuarantinePartCommand command = new QuarantinePartCommand(QuarantineMessages.toMessage(part));
    return ThriftCodec.encode(ControlCommand.quarantinePart(command));
  }

  /** Returns the command that ends the quarantine of a part of a prompt. */
  public static byte[] releaseCommand(PartId part) {
    return ThriftCodec.encode(ControlCommand.releasePart(new ReleasePartCommand(part.value())));
  }

  /** Returns the command that records which versions of its software a pool has. */
  public static byte[] poolVersionsCommand(String pool, List<String> versions, long wallMillis) {
    return ThriftCodec.encode(
        ControlCommand.poolVersions(
            new PoolVersionsCommand(pool, new ArrayList<>(versions), wallMillis)));
  }

  /**
   * Returns why no replica could apply a command; empty if each can. A committed command that can't
   * be decoded stops every replica, so a command is proposed only if this is empty.
   */
  public static Optional<Failure> inapplicable(byte[] command) {
    try {
      decode(command);
      return Optional.empty();
    } catch (TException e) {
      return Optional.of(Failure.of(ResultCode.COMMAND_TOO_LARGE, e.getMessage()));
    }
  }

  private static ControlCommand decode(byte[] command) throws TException {
    return ThriftCodec.decode(command, new ControlCommand());
  }

  @Override
  public byte[] apply(long index, byte[] bytes) {
    ControlCommand command;
    try {
      command = decode(bytes);
    } catch (TException e) {
      throw new IllegalStateException("cannot decode the command at log index " + index, e);
    }
    if (command.isSetDocument()) {
      DocumentCommand document = command.getDocument();
      tables = tables.withDocument(document.getVersion(), document.getContent());
    } else if (command.isSetCloseDomain()) {
      CloseDomainCommand close = command.getCloseDomain();
      tables = tables.withDomain(close.getDomain(), close.isClosed(), index);
    } else if (command.isSetSealCounts()) {
      SealCountsCommand seal = command.getSealCounts();
      tables = tables.withSealed(seal.getWindow(), seal.getCounts());
    } else if (command.isSetQuarantinePart()) {
      QuarantinedPart part = QuarantineMessages.toPart(command.getQuarantinePart().getPart());
      tables = tables.withQuarantine(tables.quarantine().with(part, index));
    } else if (command.isSetReleasePart()) {
      PartId part = new PartId(command.getReleasePart().getPart());
      tables = tables.withQuarantine(tables.quarantine().without(part, index));
    } else if (command.isSetPoolVersions()) {
      PoolVersionsCommand change = command.getPoolVersions();
      tables =
          tables.withPoolVersions(
              tables
                  .poolVersions()
                  .with(change.getPool(), change.getVersions(), change.getWallMillis(), index));
    }
    return NO_RESULT;
  }

  @Override
  public SnapshotWriter snapshot() {
    ControlTables captured = tables;
    return out -> out.write(ThriftCodec.encode(toMessage(captured)));
  }

  private static ControlSnapshot toMessage(ControlTables tables) {
    java.util.Map<Long, java.util.Map<String, Long>> sealed = new java.util.HashMap<>();
    tables.sealedCounts().forEach((window, counts) -> sealed.put(window, counts.toJavaMap()));
    ControlSnapshot message =
        new ControlSnapshot(
            tables.version(),
            new ArrayList<>(tables.closedDomains().toJavaList()),
            tables.closedDomainsIndex(),
            sealed,
            QuarantineMessages.toMessages(tables.quarantine().entries()),
            tables.quarantine().index(),
            poolVersions(tables.poolVersions()));
    tables.document().ifPresent(message::setDocument);
    return message;
  }

  private static List<PoolVersionsMessage> poolVersions(PoolVersions versions) {
    List<PoolVersionsMessage> messages = new ArrayList<>();
    versions
        .sets()
        .forEach(
            (pool, sets) ->
                sets.forEach(
                    set ->
                        messages.add(
                            new PoolVersionsMessage(
                                pool,
                                set.versions().toJavaList(),
                                set.sinceMillis(),
                                set.index()))));
    return messages;
  }

  private static PoolVersions poolVersions(List<PoolVersionsMessage> messages) {
    PoolVersions versions = PoolVersions.EMPTY;
    for (PoolVersionsMessage message : messages) {
      versions =
          versions.restoring(
              message.getPool(),
              new PoolVersions.Since(
                  TreeSet.ofAll(message.getVersions()),
                  message.getSinceMillis(),
                  message.getIndex()));
    }
    return versions;
  }

  @Override
  public void restore(long index, InputStream in) throws IOException {
    ControlSnapshot message;
    try {
      message = ThriftCodec.decodeSnapshot(in.readAllBytes(), new ControlSnapshot());
    } catch (TException e) {
      throw new IOException("cannot decode the snapshot", e);
    }
    TreeMap<Long, Map<String, Long>> sealed = TreeMap.empty();
    for (var entry : message.getSealed().entrySet()) {
      sealed = sealed.put(entry.getKey(), HashMap.ofAll(entry.getValue()));
    }
    tables =
        new ControlTables(
            message.getVersion(),
            Optional.ofNullable(message.getDocument()),
            TreeSet.ofAll(message.getClosedDomains()),
            message.getClosedIndex(),
            sealed,
            QuarantineTable.of(
                QuarantineMessages.toParts(message.getQuarantinedParts()),
                message.getQuarantineIndex()),
            poolVersions(message.getPoolVersions()));
  }
}
