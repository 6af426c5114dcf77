package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Message;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Delivers messages within the process, except to and from members that are isolated. */
final class LocalNetwork {
  private final Map<MemberId, MessageReceiver> receivers = new ConcurrentHashMap<>();
  private final Set<MemberId> isolated = ConcurrentHashMap.newKeySet();

  PeerTransport transport(MemberId self) {
    return new PeerTransport() {
      @Override
      public void start(MessageReceiver receiver) {
        receivers.put(self, receiver);
      }

      @Override
      public void send(Message message) {
        deliver(message);
      }

      @Override
      public void stop() {
        receivers.remove(self);
      }
    };
  }

  void isolate(MemberId member) {
    isolated.add(member);
  }

  void heal() {
    isolated.clear();
  }

  private void deliver(Message message) {
    MessageReceiver receiver = receivers.get(message.to().member());
    boolean blocked =
        isolated.contains(message.from().member()) || isolated.contains(message.to().member());
    if (receiver != null && !blocked) {
      receiver.receive(message);
    }
  }
}
