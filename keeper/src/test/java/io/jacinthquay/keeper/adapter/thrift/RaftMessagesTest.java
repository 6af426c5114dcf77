package io.jacinthquay.keeper.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.consensus.raft.Message.LeadershipTransfer;
import io.jacinthquay.consensus.raft.Payload;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.keeper.state.ThriftCodec;
import io.jacinthquay.wire.gen.RaftMessage;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class RaftMessagesTest {
  private static final ReplicaId A = new ReplicaId(new MemberId("a"), 7);
  private static final ReplicaId B = new ReplicaId(new MemberId("b"), -9);
  private static final byte[] BYTES = {1, 2, 3};
  private static final Membership MEMBERS = new Membership(Set.of(A), Set.of(B));

  static Stream<Message> messages() {
    List<Entry> entries =
        List.of(
            new Entry(4, 2, new Payload.Command(BYTES)),
            new Entry(5, 3, new Payload.NoOp()),
            new Entry(6, 3, new Payload.Reconfiguration(MEMBERS)));
    return Stream.of(
        new Message.PreVoteRequest(A, B, 3, 10, 2),
        new Message.PreVoteReply(A, B, 3, true),
        new Message.VoteRequest(A, B, 3, 10, 2, true),
        new Message.VoteReply(A, B, 3, false),
        new Message.AppendRequest(A, B, 3, 3, 2, entries, 5, 11),
        new Message.AppendRequest(A, B, 3, 3, 2, List.of(), 5, 12),
        new Message.AppendReply(A, B, 3, false, 9, 8, 2, 11),
        new Message.SnapshotChunk(A, B, 3, new SnapshotMeta(9, 2, MEMBERS), 100, BYTES, true),
        new Message.SnapshotReply(A, B, 3, 9, 103, true),
        new Message.ReadRequest(A, B, 3, 42),
        new Message.ReadReply(A, B, 3, 42, 9),
        new LeadershipTransfer(A, B, 3),
        new Message.Announce(A, ReplicaId.any(new MemberId("b"))),
        new Message.AnnounceReply(A, B, true));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messagesAreEqualAfterEncodingAndDecoding(Message message) throws TException {
    byte[] bytes = ThriftCodec.encode(RaftMessages.toMessage(message));
    Message decoded =
        RaftMessages.fromMessage(ThriftCodec.decode(bytes, new RaftMessage())).orElseThrow();

    assertEquals(describe(message), describe(decoded));
  }

  @Test
  void everyTypeOfMessageIsTested() {
    Set<Class<?>> covered = messages().map(Object::getClass).collect(Collectors.toSet());

    assertEquals(Set.of(Message.class.getPermittedSubclasses()), covered);
  }

  @Test
  void malformedMessageIsDecodedAsEmpty() {
    assertTrue(RaftMessages.fromMessage(new RaftMessage()).isEmpty());
  }

  /** Formats a message with the bytes of its arrays, because records compare arrays by identity. */
  private static String describe(Message message) {
    if (message instanceof Message.SnapshotChunk c) {
      return c.from()
          + " "
          + c.to()
          + c.term()
          + c.meta()
          + c.offset()
          + c.last()
          + Arrays.toString(c.data());
    }
    if (message instanceof Message.AppendRequest a) {
      String entries =
          a.entries().stream().map(RaftMessagesTest::describe).collect(Collectors.joining());
      return new Message.AppendRequest(
              a.from(),
              a.to(),
              a.term(),
              a.prevIndex(),
              a.prevTerm(),
              List.of(),
              a.commitIndex(),
              a.round())
          + entries;
    }
    return message.toString();
  }

  private static String describe(Entry entry) {
    return entry.payload() instanceof Payload.Command command
        ? entry.index() + " " + entry.term() + Arrays.toString(command.bytes())
        : entry.toString();
  }
}
