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
 * Calls the keepers and finds the one that leads.
 *
 * <pre>{@code
 * KeeperClient keepers = new KeeperClient(addresses, identity, Duration.ofSeconds(2));
 * Either<Failure, KeeperStatus> status = keepers.call(Keeper.Iface::status);
 * }</pre>
 *
 * <p>A call whose answer is lost is made again, on another keeper if need be: every call of the
 * interface is idempotent. Safe for use by many threads; each call in progress holds one
 * connection.
 */
public final class KeeperClient implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();
  private static final Duration PAUSE = Duration.ofMillis(50);
  private static final int MOST_IDLE_PER_KEEPER = 8;

  private final List<InetSocketAddress> keepers;
  private final TlsIdentity identity;
  private final Duration timeout;
  private final Map<InetSocketAddress, ConcurrentLinkedDeque<SecureChannel>> idle;
  private final AtomicInteger preferred = new AtomicInteger();

  /**
   * Returns a client.
   *
   * @param keepers the addresses of all keepers, at least one
   * @param identity the caller's certificate and trusted authority
   * @param timeout limit for one call with all of its attempts
   * @throws IllegalArgumentException if no keeper is given
   */
  public KeeperClient(List<InetSocketAddress> keepers, TlsIdentity identity, Duration timeout) {
    if (keepers.isEmpty()) {
      throw new IllegalArgumentException("at least one keeper is needed");
    }
    this.keepers = List.copyOf(keepers);
    this.identity = identity;
    this.timeout = timeout;
    this.idle =
        this.keepers.stream()
            .distinct()
            .collect(Collectors.toUnmodifiableMap(k -> k, k -> new ConcurrentLinkedDeque<>()));
  }

  /**
   * Makes a call.
   *
   * @return the answer; the keeper's failure; or {@link ResultCode#NO_QUORUM} if no keeper answered
   *     in time, in which case the call may or may not have had its effect
   */
  public <T> Either<Failure, T> call(KeeperCall<T> call) {
    long end = System.nanoTime() + timeout.toNanos();
    Failure last = Failure.of(ResultCode.NO_QUORUM, "no keeper could be reached");
    do {
      int position = preferred.get();
      Either<Failure, T> answer = attempt(keepers.get(position), call);
      if (answer.isRight() || !mayTryAnother(answer.getLeft())) {
        return answer;
      }
      last = answer.getLeft();
      preferred.compareAndSet(position, (position + 1) % keepers.size());
    } while (System.nanoTime() < end && pause());
    return Either.left(Failure.of(ResultCode.NO_QUORUM, last.detail()));
  }

  private static boolean mayTryAnother(Failure failure) {
    return failure.code() == ResultCode.NOT_LEADER || failure.code() == ResultCode.NO_QUORUM;
  }

  private static boolean pause() {
    try {
      Thread.sleep(PAUSE.toMillis());
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
      T answer = call.on(new Keeper.Client(channel.protocol()));
      reusable = true;
      return Either.right(answer);
    } catch (CallFailed failed) {
      reusable = true;
      return Either.left(ConfigMessages.fromMessage(failed));
    } catch (TApplicationException e) {
      if (e.getType() != TApplicationException.MISSING_RESULT) {
        return unreachable(keeper, e);
      }
      reusable = true;
      return Either.right(null);
    } catch (TException | IOException e) {
      return unreachable(keeper, e);
    } finally {
      giveBack(keeper, channel, reusable);
    }
  }

  private static <T> Either<Failure, T> unreachable(InetSocketAddress keeper, Exception e) {
    log.debug("keeper {} did not answer: {}", keeper, e.toString());
    return Either.left(
        Failure.of(
            ResultCode.NO_QUORUM, "keeper " + keeper + " did not answer: " + e.getMessage()));
  }

  private SecureChannel borrow(InetSocketAddress keeper) throws IOException {
    SecureChannel channel = idle.get(keeper).pollFirst();
    return channel != null
        ? channel
        : SecureChannel.open(keeper, identity, Math.toIntExact(timeout.toMillis()));
  }

  private void giveBack(InetSocketAddress keeper, SecureChannel channel, boolean reusable) {
    if (channel == null) {
      return;
    }
    ConcurrentLinkedDeque<SecureChannel> free = idle.get(keeper);
    if (reusable && free.size() < MOST_IDLE_PER_KEEPER) {
      free.addFirst(channel);
    } else {
      channel.close();
    }
  }

  @Override
  public void close() {
    idle.values().forEach(channels -> channels.forEach(SecureChannel::close));
  }
}
