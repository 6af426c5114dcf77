package io.jacinthquay.router.adapter.http;

import io.jacinthquay.decision.clients.ClientHolding;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What a caller's connection holds of the shared memory while the caller has not ended a head or a
 * body, or doesn't read a response, and how fast it proceeds.
 *
 * <p>Used on the I/O thread of the connection; other threads may read an outdated state.
 */
final class Transfer {
  /** Shorter times are no measure of a rate. */
  private static final long MIN_RATE_MILLIS = 1;

  private static final Runnable NOTHING = () -> {};

  private Runnable giveUp = NOTHING;
  private long minIdleMillis;
  private long heldBytes;
  private long movedBytes;
  private long startNanos;
  private long progressNanos;

  /**
   * Begins to hold memory.
   *
   * @param onGiveUp releases it when memory is short
   * @param idleMillis time without progress before which it is not given up, in milliseconds
   */
  void begin(Runnable onGiveUp, long idleMillis) {
    giveUp = onGiveUp;
    minIdleMillis = idleMillis;
    heldBytes = 0;
    movedBytes = 0;
    startNanos = System.nanoTime();
    progressNanos = startNanos;
  }

  /** Returns whether {@link #begin} was called after the last {@link #end}. */
  boolean isActive() {
    return giveUp != NOTHING;
  }

  /** Records that bytes were moved, and how many bytes of memory are held now. */
  void moved(long bytes, long nowHeldBytes) {
    movedBytes += bytes;
    heldBytes = nowHeldBytes;
    progressNanos = System.nanoTime();
  }

  /** Sets how many bytes of memory are held, without progress. */
  void hold(long nowHeldBytes) {
    heldBytes = nowHeldBytes;
  }

  /** Returns the bytes of memory that are held. */
  long heldBytes() {
    return heldBytes;
  }

  /** Records that nothing is held any more that could be given up. */
  void end() {
    giveUp = NOTHING;
    heldBytes = 0;
  }

  /** Releases what is held. */
  void giveUp() {
    giveUp.run();
  }

  /** Returns what is held and may be given up. */
  <C> Optional<ClientHolding<C>> holding(C connection, Object peer, long nowNanos) {
    if (!isActive() || idleMillis(nowNanos) < minIdleMillis) {
      return Optional.empty();
    }
    long millis = Math.max(MIN_RATE_MILLIS, TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos));
    return Optional.of(
        new ClientHolding<>(
            connection,
            peer,
            heldBytes,
            idleMillis(nowNanos),
            (double) TimeUnit.SECONDS.toMillis(movedBytes) / millis));
  }

  /** Returns the time since bytes were moved, in milliseconds. */
  long idleMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - progressNanos);
  }

  /** Returns the bytes moved since the beginning. */
  long movedBytes() {
    return movedBytes;
  }

  /** Returns the time since the beginning, in milliseconds. */
  long ageMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
  }
}
