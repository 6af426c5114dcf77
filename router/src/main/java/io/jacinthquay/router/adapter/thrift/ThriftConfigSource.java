package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.model.ConfigVersion;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ConfigChange;
import io.jacinthquay.router.port.ConfigPosition;
import io.jacinthquay.router.port.ConfigSource;
import io.jacinthquay.router.port.ConfigUpdate;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.CallFailed;
import io.jacinthquay.wire.gen.ChangeMessage;
import io.jacinthquay.wire.gen.ConfigFeed;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.FeedPosition;
import io.jacinthquay.wire.transport.SecureChannel;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.thrift.TException;

/** Polls keepers and relays for configuration, one at a time; a failure selects the next one. */
public final class ThriftConfigSource implements ConfigSource, AutoCloseable {
  /**
   * Time beyond the longest wait after which a poll times out, and the connect timeout, in
   * milliseconds.
   */
  private static final int RESPONSE_TIMEOUT_MILLIS = 1_000;

  /** Time after which the most preferred source is tried again, in nanoseconds. */
  private static final long PREFERENCE_REVIEW_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final Supplier<List<InetSocketAddress>> sources;
  private final TlsIdentity identity;
  private final VmId self;
  private final DomainId domain;
  private SecureChannel channel;
  private InetSocketAddress address;
  private long connectedNanos;
  private int nextIndex;

  /**
   * Returns a source.
   *
   * @param sources keepers and relays in order of preference, at least one; read for each new
   *     connection, and after {@link #PREFERENCE_REVIEW_NANOS} the first one is tried again
   * @param identity the router's certificate and the trusted certificate authority
   * @param self the VM of the router
   * @param domain the failure domain of the router
   */
  public ThriftConfigSource(
      Supplier<List<InetSocketAddress>> sources, TlsIdentity identity, VmId self, DomainId domain) {
    this.sources = sources;
    this.identity = identity;
    this.self = self;
    this.domain = domain;
  }

  @Override
  public synchronized Either<Failure, ConfigUpdate> poll(ConfigPosition position, Duration wait) {
    try {
      connect();
      int waitMillis = Math.toIntExact(wait.toMillis());
      channel.setReadTimeout(waitMillis + RESPONSE_TIMEOUT_MILLIS);
      ConfigFeed.Client client = new ConfigFeed.Client(channel.protocol());
      return update(client.changes(message(position), waitMillis));
    } catch (CallFailed failed) {
      Failure failure = ConfigMessages.fromMessage(failed);
      switchToNext();
      return Either.left(failure);
    } catch (TException | IOException e) {
      String detail = address + " did not respond: " + e.getMessage();
      switchToNext();
      return Either.left(Failure.of(ResultCode.NO_QUORUM, detail));
    }
  }

  private void connect() throws IOException {
    boolean reviewDue = System.nanoTime() - connectedNanos > PREFERENCE_REVIEW_NANOS;
    if (channel != null && reviewDue) {
      close();
      nextIndex = 0;
    }
    if (channel == null) {
      List<InetSocketAddress> current = sources.get();
      address = current.get(nextIndex % current.size());
      channel = SecureChannel.open(address, identity, RESPONSE_TIMEOUT_MILLIS);
      connectedNanos = System.nanoTime();
    }
  }

  private void switchToNext() {
    close();
    nextIndex++;
  }

  private FeedPosition message(ConfigPosition position) {
    Map<String, Long> relayed = new HashMap<>();
    position.relayed().forEach((name, version) -> relayed.put(name, version.value()));
    return new FeedPosition(self.value(), domain.value(), position.inForce().value(), relayed);
  }

  private static Either<Failure, ConfigUpdate> update(ConfigPage page) {
    List<ConfigChange> changes = new ArrayList<>();
    for (ChangeMessage message : page.getChanges()) {
      Either<Failure, ConfigChange> change = ConfigMessages.fromMessage(message);
      if (change.isLeft()) {
        return Either.left(change.getLeft());
      }
      changes.add(change.get());
    }
    return Either.right(
        new ConfigUpdate(
            new ConfigVersion(page.getNewest()),
            page.isSnapshot(),
            changes,
            Duration.ofMillis(page.getKeysCurrentMillis())));
  }

  @Override
  public synchronized void close() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }
}
