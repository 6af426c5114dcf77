package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Which version of an upstream's software began each stream, known beyond this router's end. All
 * methods are called on the I/O thread and return without waiting.
 */
public interface StreamOrigins {
  /** What is known of a stream. */
  enum Knowledge {
    /** The version is known. */
    KNOWN,
    /** It can't be learned any more, and several versions may have begun the stream. */
    UNKNOWN,
    /** Nobody that may know could be asked in time; a later question may be answered. */
    NO_ANSWER
  }

  /**
   * The pool and the version that began a stream.
   *
   * @param pool present if it is known
   * @param version present if it is known
   */
  record Origin(Knowledge knowledge, Optional<PoolName> pool, Optional<SoftwareVersion> version) {
    /** The version can't be learned any more. */
    public static final Origin UNKNOWN =
        new Origin(Knowledge.UNKNOWN, Optional.empty(), Optional.empty());

    /** Nobody could be asked in time. */
    public static final Origin NO_ANSWER =
        new Origin(Knowledge.NO_ANSWER, Optional.empty(), Optional.empty());

    /**
     * Checks that a known origin has a pool and a version and no other has.
     *
     * @throws IllegalArgumentException if that isn't so
     */
    public Origin {
      boolean known = knowledge == Knowledge.KNOWN;
      if (pool.isPresent() != known || version.isPresent() != known) {
        throw new IllegalArgumentException("only a known origin has a pool and a version");
      }
    }

    /** Returns a known origin. */
    public static Origin of(PoolName pool, SoftwareVersion version) {
      return new Origin(Knowledge.KNOWN, Optional.of(pool), Optional.of(version));
    }
  }

  /** Records that the first event of a stream of this router comes from a version of a pool. */
  void record(StreamId stream, PoolName pool, SoftwareVersion version);

  /**
   * Finds the pool and the version that began a stream of a customer. Where room for questions is
   * short, customers share it evenly.
   *
   * @param customer whose stream it is; empty if callers need no key
   * @param stream the stream; empty if the caller names none
   * @param pools the pools that may have begun it, at least one. A stream of another pool is
   *     unknown. With several, so is one that nobody remembers, as a pool's only version doesn't
   *     tell that this pool began it.
   * @param found called once, on the I/O thread, possibly before this method returns
   */
  void find(
      Optional<CustomerId> customer,
      Optional<StreamId> stream,
      List<PoolName> pools,
      Consumer<Origin> found);
}
