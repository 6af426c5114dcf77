package io.jacinthquay.keeper.adapter.thrift;

import io.jacinthquay.consensus.MessageReceiver;
import io.jacinthquay.consensus.PeerTransport;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.runtime.tls.PeerName;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.gen.KeeperPeer;
import io.jacinthquay.wire.gen.ReaderReport;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.thrift.TProcessor;

/** Carries messages between keepers over Thrift and mutual TLS. */
public final class ThriftPeerTransport implements PeerTransport {
  private final Map<String, PeerLink> links = new TreeMap<>();
  private volatile MessageReceiver receiver = message -> {};

  /**
   * Returns a transport.
   *
   * @param peers addresses of the other keepers by name
   * @param identity the own certificate and trusted authority
   */
  public ThriftPeerTransport(Map<String, InetSocketAddress> peers, TlsIdentity identity) {
    peers.forEach((name, address) -> links.put(name, new PeerLink(name, address, identity)));
  }

  @Override
  public void start(MessageReceiver messageReceiver) {
    receiver = messageReceiver;
    links.values().forEach(PeerLink::start);
  }

  @Override
  public void send(Message message) {
    PeerLink link = links.get(message.to().member().value());
    if (link != null) {
      link.send(message);
    }
  }

  /** Sends every other keeper what readers have in force. */
  public void share(List<ReaderReport> reports) {
    links.values().forEach(link -> link.send(reports));
  }

  /**
   * Returns the processor for the calls of another keeper.
   *
   * @param peer the other keeper
   * @param reports takes what it heard from readers
   */
  public TProcessor processor(PeerName peer, Consumer<List<ReaderReport>> reports) {
    PeerHandler handler = new PeerHandler(peer, message -> receiver.receive(message), reports);
    return new KeeperPeer.Processor<>(handler);
  }

  @Override
  public void stop() {
    receiver = message -> {};
    links.values().forEach(PeerLink::stop);
  }
}
