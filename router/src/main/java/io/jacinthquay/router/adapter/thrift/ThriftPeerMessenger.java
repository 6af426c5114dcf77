package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.membership.OutgoingMessage;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.PeerMessenger;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.convert.GossipMessages;
import io.jacinthquay.wire.convert.SlotMessages;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Sends messages to other routers in batches, with one connection per router.
 *
 * <p>Messages that wait for a router while it can't be reached are dropped.
 */
public final class ThriftPeerMessenger implements PeerMessenger, AutoCloseable {
  private static final int MAX_SENDER_THREADS = 16;
  private static final int IDLE_SECONDS = 10;

  private final TlsIdentity identity;
  private final ThreadPoolExecutor senders;
  private final Map<VmId, PeerOutbox> outboxes = new ConcurrentHashMap<>();
  private volatile Map<VmId, InetSocketAddress> addresses = Map.of();

  /**
   * Returns a messenger without addresses.
   *
   * @param identity this router's certificate and the trusted certificate authority
   */
  public ThriftPeerMessenger(TlsIdentity identity) {
    this.identity = identity;
    this.senders =
        new ThreadPoolExecutor(
            0,
            MAX_SENDER_THREADS,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> {
              Thread thread = new Thread(task, "peer-sender");
              thread.setDaemon(true);
              return thread;
            },
            new ThreadPoolExecutor.DiscardPolicy());
  }

  @Override
  public void setAddresses(Map<VmId, InetSocketAddress> known) {
    addresses = Map.copyOf(known);
  }

  @Override
  public boolean isReachable(VmId router) {
    PeerOutbox outbox = outboxes.get(router);
    return outbox == null || outbox.isReachable();
  }

  @Override
  public void sendSlotMessage(VmId to, SlotMessage message) {
    outbox(to)
        .ifPresent(
            outbox -> {
              if (message instanceof SlotMessage.ToOwner toOwner) {
                outbox.add(batch -> batch.addToToOwner(SlotMessages.toMessage(toOwner)));
              } else {
                SlotMessage.ToClient toClient = (SlotMessage.ToClient) message;
                outbox.add(batch -> batch.addToToClient(SlotMessages.toMessage(toClient)));
              }
            });
  }

  @Override
  public void sendGossip(OutgoingMessage message) {
    outbox(message.to(), message.address())
        .ifPresent(
            outbox ->
                outbox.add(
                    batch -> batch.addToGossip(GossipMessages.toMessage(message.message()))));
  }

  @Override
  public void sendUsage(VmId to, List<UsageCount> counts) {
    outbox(to)
        .ifPresent(
            outbox ->
                outbox.add(
                    batch ->
                        counts.forEach(count -> batch.addToUsage(ThriftUsageSink.message(count)))));
  }

  @Override
  public void sendWithdrawnKeys(VmId to, Collection<KeyDigest> keys) {
    outbox(to)
        .ifPresent(
            outbox -> outbox.add(batch -> keys.forEach(key -> batch.addToWithdrawn(key.hex()))));
  }

  private Optional<PeerOutbox> outbox(VmId to) {
    return Optional.ofNullable(addresses.get(to)).map(address -> outbox(to, address));
  }

  private Optional<PeerOutbox> outbox(VmId to, String address) {
    InetSocketAddress known = addresses.get(to);
    return Optional.of(outbox(to, known == null ? SocketAddresses.parse(address) : known));
  }

  private PeerOutbox outbox(VmId to, InetSocketAddress address) {
    PeerOutbox outbox = outboxes.get(to);
    if (outbox != null && outbox.address().equals(address)) {
      return outbox;
    }
    Executor executor = senders;
    PeerOutbox fresh = new PeerOutbox(address, identity, executor);
    PeerOutbox previous = outboxes.put(to, fresh);
    if (previous != null) {
      previous.close();
    }
    return fresh;
  }

  @Override
  public void close() {
    List<Runnable> unused = senders.shutdownNow();
    outboxes.values().forEach(PeerOutbox::close);
  }
}
