package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.ConfigPosition;
import io.jacinthquay.router.port.ConfigUpdate;
import io.jacinthquay.router.port.PeerReceiver;
import io.jacinthquay.router.port.RouterAges;
import io.jacinthquay.router.port.UsageCount;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.convert.GossipMessages;
import io.jacinthquay.wire.convert.SloMessages;
import io.jacinthquay.wire.convert.SlotMessages;
import io.jacinthquay.wire.gen.CallFailed;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.FeedPosition;
import io.jacinthquay.wire.gen.GossipEnvelope;
import io.jacinthquay.wire.gen.Peer;
import io.jacinthquay.wire.gen.PeerBatch;
import io.jacinthquay.wire.gen.SloReport;
import io.jacinthquay.wire.gen.StalenessReport;
import io.jacinthquay.wire.gen.ToClientMessage;
import io.jacinthquay.wire.gen.ToOwnerMessage;
import io.jacinthquay.wire.gen.UsageCounter;
import io.jacinthquay.wire.transport.SecureServer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A server for other routers and for operators, keepers and controllers. A router may send messages
 * only in its own name.
 */
public final class PeerServer implements Service {
  private static final Logger log = LogManager.getLogger();
  private static final int MAX_CONNECTIONS = 1_024;
  private static final int MAX_WAIT_MILLIS = 10_000;

  private final SecureServer server;

  /**
   * Returns a server.
   *
   * @param address the address to listen on; port 0 selects a free port
   * @param identity this router's certificate and the trusted certificate authority
   * @param self the VM of this router
   * @param domain the failure domain of this router
   * @param receiver receives the messages and calls
   */
  public PeerServer(
      InetSocketAddress address,
      TlsIdentity identity,
      VmId self,
      DomainId domain,
      PeerReceiver receiver) {
    this.server =
        new SecureServer(
            address,
            identity,
            MAX_CONNECTIONS,
            peer -> new Peer.Processor<>(new Handler(peer, self, domain, receiver)));
  }

  @Override
  public void start() {
    server.start();
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.port();
  }

  @Override
  public void stop() {
    server.stop();
  }

  /** Handles the calls of one peer. */
  private record Handler(PeerIdentity peer, VmId self, DomainId domain, PeerReceiver receiver)
      implements Peer.Iface {
    @Override
    public void deliver(PeerBatch batch) {
      if (peer.role() != PeerRole.ROUTER) {
        return;
      }
      try {
        receiveSlots(batch);
        batch.getGossip().forEach(this::receiveGossip);
        receiveUsage(batch.getUsage());
        receiveWithdrawn(batch.getWithdrawn());
      } catch (IllegalArgumentException | NullPointerException e) {
        log.warn("router {} sent a malformed message: {}", peer.name(), e.getMessage());
      }
    }

    private void receiveSlots(PeerBatch batch) {
      for (ToOwnerMessage message : batch.getToOwner()) {
        if (message.getStamp().getRouter().equals(peer.name())) {
          receiver.receiveSlotMessage(SlotMessages.fromMessage(message));
        }
      }
      for (ToClientMessage message : batch.getToClient()) {
        if (message.getStamp().getOwner().equals(peer.name())) {
          receiver.receiveSlotMessage(SlotMessages.fromMessage(message));
        }
      }
    }

    private void receiveGossip(GossipEnvelope envelope) {
      if (envelope.getSender().equals(peer.name())) {
        receiver.receiveGossip(GossipMessages.fromMessage(envelope));
      }
    }

    private void receiveUsage(List<UsageCounter> counters) {
      if (!counters.isEmpty()) {
        receiver.storeUsageCopies(
            new VmId(peer.name()), counters.stream().map(Handler::count).toList());
      }
    }

    private static UsageCount count(UsageCounter counter) {
      return new UsageCount(
          counter.getIncarnation(),
          new CustomerId(counter.getCustomer()),
          counter.getModel(),
          counter.getWindowStartMillis(),
          counter.getRequests(),
          counter.getInputTokens(),
          counter.getOutputTokens());
    }

    private void receiveWithdrawn(List<String> digests) {
      if (!digests.isEmpty()) {
        receiver.addWithdrawnKeys(digests.stream().map(KeyDigest::new).toList());
      }
    }

    @Override
    public void withdraw(List<String> digests) throws CallFailed {
      if (peer.role() != PeerRole.OPERATOR && peer.role() != PeerRole.KEEPER) {
        throw ConfigMessages.toMessage(Failure.of(ResultCode.NOT_AUTHORISED));
      }
      try {
        receiver.withdrawKeys(digests.stream().map(KeyDigest::new).toList());
      } catch (IllegalArgumentException e) {
        throw ConfigMessages.toMessage(Failure.of(ResultCode.BAD_REQUEST, e.getMessage()));
      }
    }

    @Override
    public SloReport slo() throws CallFailed {
      if (peer.role() != PeerRole.OPERATOR && peer.role() != PeerRole.CONTROLLER) {
        throw ConfigMessages.toMessage(Failure.of(ResultCode.NOT_AUTHORISED));
      }
      RouterAges ages = receiver.ages();
      StalenessReport staleness =
          new StalenessReport(
              ages.configMillis(),
              ages.keysMillis(),
              ages.loadMillis(),
              ages.cacheEventsMillis(),
              ages.configVersion());
      return SloMessages.toMessage(self.value(), domain.value(), receiver.slo(), staleness);
    }

    @Override
    public ConfigPage changes(FeedPosition position, int waitMillis) throws CallFailed {
      if (peer.role() != PeerRole.ROUTER && peer.role() != PeerRole.CONTROLLER) {
        throw ConfigMessages.toMessage(Failure.of(ResultCode.NOT_AUTHORISED));
      }
      Map<String, ConfigVersion> relayed = new HashMap<>();
      position
          .getRelayed()
          .forEach((name, version) -> relayed.put(name, new ConfigVersion(version)));
      ConfigPosition current =
          new ConfigPosition(new ConfigVersion(position.getInForce()), relayed);
      Duration wait = Duration.ofMillis(Math.min(MAX_WAIT_MILLIS, Math.max(0, waitMillis)));
      return page(receiver.changes(new VmId(peer.name()), current, wait));
    }

    private static ConfigPage page(ConfigUpdate update) {
      return new ConfigPage(
          update.newest().value(),
          update.snapshot(),
          update.changes().stream().map(ConfigMessages::toMessage).toList(),
          update.keysCurrent().toMillis());
    }
  }
}
