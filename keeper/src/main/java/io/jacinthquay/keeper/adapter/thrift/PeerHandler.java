package io.jacinthquay.keeper.adapter.thrift;

import io.jacinthquay.consensus.MessageReceiver;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.wire.gen.KeeperPeer;
import io.jacinthquay.wire.gen.RaftMessage;
import io.jacinthquay.wire.gen.ReaderReport;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Takes messages from one other keeper; those in another's name are dropped. */
final class PeerHandler implements KeeperPeer.Iface {
  private static final Logger log = LogManager.getLogger();

  private final Optional<String> peer;
  private final MessageReceiver receiver;
  private final Consumer<List<ReaderReport>> reports;

  PeerHandler(
      Optional<String> peer, MessageReceiver receiver, Consumer<List<ReaderReport>> reports) {
    this.peer = peer;
    this.receiver = receiver;
    this.reports = reports;
  }

  @Override
  public void deliver(List<RaftMessage> messages) {
    for (RaftMessage message : messages) {
      Optional<Message> read = RaftMessages.fromMessage(message);
      if (read.isEmpty() || !isFromPeer(read.get())) {
        log.warn("dropped a malformed message from keeper {}", peer.orElse("unauthenticated"));
        continue;
      }
      receiver.receive(read.get());
    }
  }

  private boolean isFromPeer(Message message) {
    return peer.isEmpty() || message.from().member().value().equals(peer.get());
  }

  @Override
  public void readers(List<ReaderReport> list) {
    reports.accept(list);
  }
}
