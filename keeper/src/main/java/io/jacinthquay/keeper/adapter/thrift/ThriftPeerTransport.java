package io.jacinthquay.keeper.adapter.thrift;

import io.jacinthquay.consensus.MessageReceiver;
import io.jacinthquay.consensus.PeerTransport;
import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.gen.KeeperPeer;
import io.jacinthquay.wire.gen.ReaderReport;
import io.jacinthquay.wire.transport.SecureChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.thrift.TProcessor;

/**
 * Carries messages between keepers over Thrift, with mutual TLS where there are identities.
 *
 * <p>Links to members that were not known at the start are opened on the first message.
 */
public final class ThriftPeerTransport implements PeerTransport {
  private static final int TIMEOUT_MILLIS = 2_000;

  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final Dialer dialer;
  private final Function<String, Optional<InetSocketAddress>> resolver;
  private volatile boolean started;
  private volatile MessageReceiver receiver = message -> {};

  /**
   * Returns a transport.
   *
   * @param peers addresses of the other keepers by name
   * @param identity the own certificate and trusted authority
   */
  public ThriftPeerTransport(Map<String, InetSocketAddress> peers, TlsIdentity identity) {
    this(address -> SecureChannel.open(address, identity, TIMEOUT_MILLIS), n -> Optional.empty());
    peers.forEach((name, address) -> links.put(name, new PeerLink(name, address, dialer)));
  }

  private ThriftPeerTransport(
      Dialer dialer, Function<String, Optional<InetSocketAddress>> resolver) {
    this.dialer = dialer;
    this.resolver = resolver;
  }

  /**
   * Returns a transport to members that are found by their names.
   *
   * @param dialer opens connections
   * @param resolver returns the address of a member by its name
   */
  public static ThriftPeerTransport resolving(
      Dialer dialer, Function<String, Optional<InetSocketAddress>> resolver) {
    return new ThriftPeerTransport(dialer, resolver);
  }

  @Override
  public void start(MessageReceiver messageReceiver) {
    receiver = messageReceiver;
    links.values().forEach(PeerLink::start);
    started = true;
  }

  @Override
  public void send(Message message) {
    PeerLink link = links.computeIfAbsent(message.to().member().value(), this::open);
    if (link != null) {
      link.send(message);
    }
  }

  private PeerLink open(String name) {
    Optional<InetSocketAddress> address = started ? resolver.apply(name) : Optional.empty();
    if (address.isEmpty()) {
      return null;
    }
    PeerLink link = new PeerLink(name, address.get(), dialer);
    link.start();
    return link;
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
  public TProcessor processor(PeerIdentity peer, Consumer<List<ReaderReport>> reports) {
    return processor(Optional.of(peer.name()), reports);
  }

  /** Returns the processor for calls of members that are not authenticated. */
  public TProcessor openProcessor() {
    return processor(Optional.empty(), reports -> {});
  }

  private TProcessor processor(Optional<String> name, Consumer<List<ReaderReport>> reports) {
    PeerHandler handler = new PeerHandler(name, message -> receiver.receive(message), reports);
    return new KeeperPeer.Processor<>(handler);
  }

  @Override
  public void stop() {
    receiver = message -> {};
    started = false;
    links.values().forEach(PeerLink::stop);
    links.clear();
  }
}
