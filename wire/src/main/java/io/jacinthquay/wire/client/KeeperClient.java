package io.jacinthquay.wire.client;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.convert.ConfigMessages;
import io.jacinthquay.wire.gen.CallFailed;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.transport.SecureChannel;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;

/**
 * Calls the keepers and finds their leader.
 *
 * <pre>{@code
 * KeeperClient keepers = new KeeperClient(addresses, identity, Duration.ofSeconds(2));
 * Either<Failure, KeeperStatus> status = keepers.call(Keeper.Iface::status);
 * }</pre>
 *
 * <p>A call whose response is lost is retried, on another keeper if necessary: every call of the
 * interface is idempotent. Safe for use by many threads; each call in progress uses one connection.
 */
public final class KeeperClient implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();
  private static final Duration RETRY_PAUSE = Duration.ofMillis(50);
  private static final int MAX_IDLE_CONNECTIONS_PER_KEEPER = 8;

  private final List<InetSocketAddress> keepers;
  private final TlsIdentity identity;
  private final Duration timeout;
  private final Map<InetSocketAddress, ConcurrentLinkedDeque<SecureChannel>> idleByKeeper;
  private final AtomicInteger preferred = new AtomicInteger();

  /**
   * Returns a client.
   *
   * @param keepers the addresses of all keepers, at least one
   * @param identity the caller's certificate and trusted authority
   * @param timeout the timeout of one call with all its attempts
   * @throws IllegalArgumentException if no keeper is given
   */
  public KeeperClient(List<InetSocketAddress> keepers, TlsIdentity identity, Duration timeout) {
    if (keepers.isEmpty()) {
      throw new IllegalArgumentException("at least one keeper address is required");
    }
    this.keepers = List.copyOf(keepers);
    this.identity = identity;
    this.timeout = timeout;
    this.idleByKeeper =
        this.keepers.stream()
            .distinct()
            .collect(Collectors.toUnmodifiableMap(k -> k, k -> new ConcurrentLinkedDeque<>()));
  }

  /**
   * Makes a call.
   *
   * @return the result; the keeper's failure; or {@link ResultCode#NO_QUORUM} if no keeper
   *     responded in time, in which case the call may or may not have had its effect
   */
  public <T> Either<Failure, T> call(KeeperCall<T> call) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    Failure lastFailure = Failure.of(ResultCode.NO_QUORUM, "no keeper could be reached");
    do {
      int index = preferred.get();
      Either<Failure, T> result = attempt(keepers.get(index), call);
      if (result.isRight() || !isRetryable(result.getLeft())) {
        return result;
      }
      lastFailure = result.getLeft();
      preferred.compareAndSet(index, (index + 1) % keepers.size());
    } while (System.nanoTime() < deadlineNanos && pauseBeforeRetry());
    return Either.left(Failure.of(ResultCode.NO_QUORUM, lastFailure.detail()));
  }

  private static boolean isRetryable(Failure failure) {
    return failure.code() == ResultCode.NOT_LEADER || failure.code() == ResultCode.NO_QUORUM;
  }

  private static boolean pauseBeforeRetry() {
    try {
      Thread.sleep(RETRY_PAUSE.toMillis());
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private <T> Either<Failure, T> attempt(InetSocketAddress keeper, KeeperCall<T> call) {
    SecureChannel channel = null;
    boolean reusable = false;
    try {
      channel = borrow(keeper);
      T result = call.invoke(new Keeper.Client(channel.protocol()));
      reusable = true;
      return Either.right(result);
    } catch (CallFailed e) {
      reusable = true;
      return Either.left(ConfigMessages.fromMessage(e));
    } catch (TApplicationException e) {
      if (e.getType() != TApplicationException.MISSING_RESULT) {
        return unreachable(keeper, e);
      }
      reusable = true;
      return Either.right(null);
    } catch (TException | IOException e) {
      return unreachable(keeper, e);
    } finally {
      release(keeper, channel, reusable);
    }
  }

  private static <T> Either<Failure, T> unreachable(InetSocketAddress keeper, Exception e) {
    log.debug("keeper {} did not respond: {}", keeper, e.toString());
    return Either.left(
        Failure.of(
            ResultCode.NO_QUORUM, "keeper " + keeper + " did not respond: " + e.getMessage()));
  }

  private SecureChannel borrow(InetSocketAddress keeper) throws IOException {
    SecureChannel channel = idleByKeeper.get(keeper).pollFirst();
    return channel != null
        ? channel
        : SecureChannel.open(keeper, identity, Math.toIntExact(timeout.toMillis()));
  }

  private void release(InetSocketAddress keeper, SecureChannel channel, boolean reusable) {
    if (channel == null) {
      return;
    }
    ConcurrentLinkedDeque<SecureChannel> idleChannels = idleByKeeper.get(keeper);
    if (reusable && idleChannels.size() < MAX_IDLE_CONNECTIONS_PER_KEEPER) {
      idleChannels.addFirst(channel);
    } else {
      channel.close();
    }
  }

  @Override
  public void close() {
    idleByKeeper.values().forEach(channels -> channels.forEach(SecureChannel::close));
  }
}
