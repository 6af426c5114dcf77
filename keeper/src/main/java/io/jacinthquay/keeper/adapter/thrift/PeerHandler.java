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

/** Receives messages from a member; drops malformed ones and those that name another sender. */
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
      Optional<Message> decoded = RaftMessages.fromMessage(message);
      if (decoded.isEmpty() || !isFromPeer(decoded.get())) {
        log.warn(
            "dropped a message from {}: it is malformed or names another sender",
            peer.orElse("unauthenticated"));
        continue;
      }
      receiver.receive(decoded.get());
    }
  }

  private boolean isFromPeer(Message message) {
    return peer.isEmpty() || message.from().member().value().equals(peer.get());
  }

  @Override
  public void readers(List<ReaderReport> received) {
    reports.accept(received);
  }
}
