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
 * Sends messages between the members of a log over Thrift, with mutual TLS if the members have
 * identities.
 *
 * <p>A link to a member whose address was not given at construction is opened with the first
 * message to it.
 */
public final class ThriftPeerTransport implements PeerTransport {
  private static final int TIMEOUT_MILLIS = 2_000;

  private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
  private final Dialer dialer;
  private final Function<String, Optional<InetSocketAddress>> resolver;
  private volatile boolean started;
  private volatile MessageReceiver receiver = message -> {};

  /**
   * Creates a transport between keepers, with mutual TLS.
   *
   * @param peers addresses of the other keepers by name
   * @param identity certificate of this keeper and trusted authority
   */
  public ThriftPeerTransport(Map<String, InetSocketAddress> peers, TlsIdentity identity) {
    this(
        address -> SecureChannel.open(address, identity, TIMEOUT_MILLIS), name -> Optional.empty());
    peers.forEach((name, address) -> links.put(name, new PeerLink(name, address, dialer)));
  }

  private ThriftPeerTransport(
      Dialer dialer, Function<String, Optional<InetSocketAddress>> resolver) {
    this.dialer = dialer;
    this.resolver = resolver;
  }

  /**
   * Returns a transport that looks up the addresses of members by name.
   *
   * @param dialer opens connections
   * @param resolver returns the address of a member by name, or empty if it is unknown
   */
  public static ThriftPeerTransport withResolver(
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

  /** Sends the versions in force at readers to every other keeper, without blocking. */
  public void sendReports(List<ReaderReport> reports) {
    links.values().forEach(link -> link.send(reports));
  }

  /**
   * Returns a processor for the calls of another keeper.
   *
   * @param peer the other keeper
   * @param reports receives the versions in force that readers reported to it
   */
  public TProcessor processor(PeerIdentity peer, Consumer<List<ReaderReport>> reports) {
    return processor(Optional.of(peer.name()), reports);
  }

  /** Returns a processor for the calls of members that are not authenticated. */
  public TProcessor unauthenticatedProcessor() {
    return processor(Optional.empty(), reports -> {});
  }

  private TProcessor processor(Optional<String> name, Consumer<List<ReaderReport>> reports) {
    return new KeeperPeer.Processor<>(new PeerHandler(name, this::receive, reports));
  }

  private void receive(Message message) {
    PeerLink link = links.get(message.from().member().value());
    if (link != null) {
      link.recordHeard();
    }
    receiver.receive(message);
  }

  @Override
  public void stop() {
    receiver = message -> {};
    started = false;
    links.values().forEach(PeerLink::stop);
    links.clear();
  }
}
