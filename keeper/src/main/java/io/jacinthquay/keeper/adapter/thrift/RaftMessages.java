package io.jacinthquay.keeper.adapter.thrift;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.consensus.raft.Message.LeadershipTransfer;
import io.jacinthquay.consensus.raft.Payload;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.wire.gen.AnnounceReplyPayload;
import io.jacinthquay.wire.gen.AppendPayload;
import io.jacinthquay.wire.gen.AppendReplyPayload;
import io.jacinthquay.wire.gen.EmptyPayload;
import io.jacinthquay.wire.gen.EntryMessage;
import io.jacinthquay.wire.gen.MembershipMessage;
import io.jacinthquay.wire.gen.RaftMessage;
import io.jacinthquay.wire.gen.RaftPayload;
import io.jacinthquay.wire.gen.ReadPayload;
import io.jacinthquay.wire.gen.ReadReplyPayload;
import io.jacinthquay.wire.gen.ReplicaMessage;
import io.jacinthquay.wire.gen.SnapshotChunkPayload;
import io.jacinthquay.wire.gen.SnapshotReplyPayload;
import io.jacinthquay.wire.gen.VotePayload;
import io.jacinthquay.wire.gen.VoteReplyPayload;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Converts messages between replicas to Thrift and back. */
final class RaftMessages {
  private RaftMessages() {}

  static RaftMessage toMessage(Message message) {
    return new RaftMessage(
        toMessage(message.from()), toMessage(message.to()), message.term(), payload(message));
  }

  private static RaftPayload payload(Message message) {
    if (message instanceof Message.AppendRequest m) {
      List<EntryMessage> entries = m.entries().stream().map(RaftMessages::toMessage).toList();
      return RaftPayload.append(
          new AppendPayload(m.prevIndex(), m.prevTerm(), entries, m.commitIndex(), m.round()));
    }
    if (message instanceof Message.AppendReply m) {
      return RaftPayload.appendReply(
          new AppendReplyPayload(m.success(), m.index(), m.hintIndex(), m.hintTerm(), m.round()));
    }
    if (message instanceof Message.SnapshotChunk m) {
      return RaftPayload.snapshotChunk(toPayload(m));
    }
    if (message instanceof Message.SnapshotReply m) {
      return RaftPayload.snapshotReply(
          new SnapshotReplyPayload(m.index(), m.nextOffset(), m.installed()));
    }
    if (message instanceof Message.ReadRequest m) {
      return RaftPayload.read(new ReadPayload(m.requestId()));
    }
    if (message instanceof Message.ReadReply m) {
      return RaftPayload.readReply(new ReadReplyPayload(m.requestId(), m.readIndex()));
    }
    return electionPayload(message);
  }

  private static RaftPayload electionPayload(Message message) {
    if (message instanceof Message.PreVoteRequest m) {
      return RaftPayload.preVote(new VotePayload(m.lastIndex(), m.lastTerm(), false));
    }
    if (message instanceof Message.PreVoteReply m) {
      return RaftPayload.preVoteReply(new VoteReplyPayload(m.granted()));
    }
    if (message instanceof Message.VoteRequest m) {
      return RaftPayload.vote(new VotePayload(m.lastIndex(), m.lastTerm(), m.leadershipTransfer()));
    }
    if (message instanceof Message.VoteReply m) {
      return RaftPayload.voteReply(new VoteReplyPayload(m.granted()));
    }
    if (message instanceof LeadershipTransfer) {
      return RaftPayload.handover(new EmptyPayload());
    }
    if (message instanceof Message.Announce) {
      return RaftPayload.announce(new EmptyPayload());
    }
    if (message instanceof Message.AnnounceReply m) {
      return RaftPayload.announceReply(new AnnounceReplyPayload(m.formed()));
    }
    throw new IllegalArgumentException("unknown message " + message.getClass());
  }

  private static SnapshotChunkPayload toPayload(Message.SnapshotChunk chunk) {
    SnapshotMeta meta = chunk.meta();
    SnapshotChunkPayload payload = new SnapshotChunkPayload();
    payload.setIndex(meta.index());
    payload.setTerm(meta.term());
    payload.setMembership(toMessage(meta.membership()));
    payload.setOffset(chunk.offset());
    payload.setData(chunk.data());
    payload.setLast(chunk.last());
    return payload;
  }

  private static EntryMessage toMessage(Entry entry) {
    EntryMessage message = new EntryMessage(entry.index(), entry.term());
    if (entry.payload() instanceof Payload.Command command) {
      message.setCommand(command.bytes());
    } else if (entry.payload() instanceof Payload.Reconfiguration change) {
      message.setMembership(toMessage(change.membership()));
    }
    return message;
  }

  private static MembershipMessage toMessage(Membership membership) {
    return new MembershipMessage(
        membership.voters().stream().map(RaftMessages::toMessage).toList(),
        membership.learners().stream().map(RaftMessages::toMessage).toList());
  }

  private static ReplicaMessage toMessage(ReplicaId replica) {
    return new ReplicaMessage(replica.member().value(), replica.incarnation());
  }

  /** Returns the message, or empty if it is malformed. */
  static Optional<Message> fromMessage(RaftMessage message) {
    try {
      ReplicaId from = replica(message.getSender());
      ReplicaId to = replica(message.getReceiver());
      return Optional.of(decode(from, to, message.getTerm(), message.getPayload()));
    } catch (IllegalArgumentException | NullPointerException e) {
      return Optional.empty();
    }
  }

  private static Message decode(ReplicaId from, ReplicaId to, long term, RaftPayload payload) {
    return switch (payload.getSetField()) {
      case PRE_VOTE -> {
        VotePayload p = payload.getPreVote();
        yield new Message.PreVoteRequest(from, to, term, p.getLastIndex(), p.getLastTerm());
      }
      case PRE_VOTE_REPLY ->
          new Message.PreVoteReply(from, to, term, payload.getPreVoteReply().isGranted());
      case VOTE -> {
        VotePayload p = payload.getVote();
        yield new Message.VoteRequest(
            from, to, term, p.getLastIndex(), p.getLastTerm(), p.isHandover());
      }
      case VOTE_REPLY -> new Message.VoteReply(from, to, term, payload.getVoteReply().isGranted());
      case APPEND -> append(from, to, term, payload.getAppend());
      case APPEND_REPLY -> appendReply(from, to, term, payload.getAppendReply());
      case SNAPSHOT_CHUNK -> snapshotChunk(from, to, term, payload.getSnapshotChunk());
      case SNAPSHOT_REPLY -> {
        SnapshotReplyPayload p = payload.getSnapshotReply();
        yield new Message.SnapshotReply(
            from, to, term, p.getIndex(), p.getNextOffset(), p.isInstalled());
      }
      case READ -> new Message.ReadRequest(from, to, term, payload.getRead().getRequestId());
      case READ_REPLY -> {
        ReadReplyPayload p = payload.getReadReply();
        yield new Message.ReadReply(from, to, term, p.getRequestId(), p.getReadIndex());
      }
      case HANDOVER -> new LeadershipTransfer(from, to, term);
      case ANNOUNCE -> new Message.Announce(from, to);
      case ANNOUNCE_REPLY ->
          new Message.AnnounceReply(from, to, payload.getAnnounceReply().isFormed());
    };
  }

  private static Message append(ReplicaId from, ReplicaId to, long term, AppendPayload p) {
    List<Entry> entries = p.getEntries().stream().map(RaftMessages::entry).toList();
    return new Message.AppendRequest(
        from,
        to,
        term,
        p.getPrevIndex(),
        p.getPrevTerm(),
        entries,
        p.getCommitIndex(),
        p.getRound());
  }

  private static Message appendReply(
      ReplicaId from, ReplicaId to, long term, AppendReplyPayload p) {
    return new Message.AppendReply(
        from,
        to,
        term,
        p.isSuccess(),
        p.getIndex(),
        p.getHintIndex(),
        p.getHintTerm(),
        p.getRound());
  }

  private static Message snapshotChunk(
      ReplicaId from, ReplicaId to, long term, SnapshotChunkPayload p) {
    SnapshotMeta meta = new SnapshotMeta(p.getIndex(), p.getTerm(), membership(p.getMembership()));
    return new Message.SnapshotChunk(from, to, term, meta, p.getOffset(), p.getData(), p.isLast());
  }

  private static Entry entry(EntryMessage message) {
    Payload payload;
    if (message.isSetCommand()) {
      payload = new Payload.Command(message.getCommand());
    } else if (message.isSetMembership()) {
      payload = new Payload.Reconfiguration(membership(message.getMembership()));
    } else {
      payload = new Payload.NoOp();
    }
    return new Entry(message.getIndex(), message.getTerm(), payload);
  }

  private static Membership membership(MembershipMessage message) {
    return new Membership(replicas(message.getVoters()), replicas(message.getLearners()));
  }

  private static java.util.Set<ReplicaId> replicas(Collection<ReplicaMessage> messages) {
    return messages.stream().map(RaftMessages::replica).collect(Collectors.toSet());
  }

  private static ReplicaId replica(ReplicaMessage message) {
    return new ReplicaId(new MemberId(message.getMember()), message.getIncarnation());
  }
}
