package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Payload;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Encodes protocol values for storage and decodes them. */
final class Codec {
  private static final int NO_OP = 0;
  private static final int COMMAND = 1;
  private static final int RECONFIGURATION = 2;

  private Codec() {}

  /** Writes one value to a stream. */
  interface ValueWriter {
    void writeTo(DataOutputStream out) throws IOException;
  }

  static byte[] encode(ValueWriter writer) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    writer.writeTo(new DataOutputStream(bytes));
    return bytes.toByteArray();
  }

  static DataInputStream input(byte[] bytes) {
    return new DataInputStream(new ByteArrayInputStream(bytes));
  }

  static void write(DataOutputStream out, Entry entry) throws IOException {
    out.writeLong(entry.index());
    out.writeLong(entry.term());
    if (entry.payload() instanceof Payload.Command command) {
      out.writeByte(COMMAND);
      out.write(command.bytes());
    } else if (entry.payload() instanceof Payload.Reconfiguration change) {
      out.writeByte(RECONFIGURATION);
      write(out, change.membership());
    } else {
      out.writeByte(NO_OP);
    }
  }

  static Entry readEntry(byte[] bytes) throws IOException {
    DataInputStream in = input(bytes);
    long index = in.readLong();
    long term = in.readLong();
    int kind = in.readUnsignedByte();
    Payload payload =
        switch (kind) {
          case NO_OP -> new Payload.NoOp();
          case COMMAND -> new Payload.Command(in.readAllBytes());
          case RECONFIGURATION -> new Payload.Reconfiguration(readMembership(in));
          default -> throw new IOException("unknown entry kind " + kind);
        };
    return new Entry(index, term, payload);
  }

  static void write(DataOutputStream out, Membership membership) throws IOException {
    write(out, membership.voters());
    write(out, membership.learners());
  }

  static Membership readMembership(DataInputStream in) throws IOException {
    return new Membership(readReplicas(in), readReplicas(in));
  }

  private static void write(DataOutputStream out, Set<ReplicaId> replicas) throws IOException {
    out.writeInt(replicas.size());
    for (ReplicaId replica : replicas) {
      write(out, replica);
    }
  }

  private static Set<ReplicaId> readReplicas(DataInputStream in) throws IOException {
    int count = in.readInt();
    Set<ReplicaId> replicas = new TreeSet<>();
    for (int i = 0; i < count; i++) {
      replicas.add(readReplica(in));
    }
    return replicas;
  }

  static void write(DataOutputStream out, ReplicaId replica) throws IOException {
    out.writeUTF(replica.member().value());
    out.writeLong(replica.incarnation());
  }

  static ReplicaId readReplica(DataInputStream in) throws IOException {
    return new ReplicaId(new MemberId(in.readUTF()), in.readLong());
  }

  static void write(DataOutputStream out, HardState hardState) throws IOException {
    out.writeLong(hardState.term());
    out.writeBoolean(hardState.votedFor().isPresent());
    if (hardState.votedFor().isPresent()) {
      write(out, hardState.votedFor().get());
    }
  }

  static HardState readHardState(DataInputStream in) throws IOException {
    long term = in.readLong();
    Optional<ReplicaId> vote = in.readBoolean() ? Optional.of(readReplica(in)) : Optional.empty();
    return new HardState(term, vote);
  }
}
