package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
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
   * The version that began a stream.
   *
   * @param version present if it is known
   */
  record Origin(Knowledge knowledge, Optional<SoftwareVersion> version) {
    /** The version can't be learned any more. */
    public static final Origin UNKNOWN = new Origin(Knowledge.UNKNOWN, Optional.empty());

    /** Nobody could be asked in time. */
    public static final Origin NO_ANSWER = new Origin(Knowledge.NO_ANSWER, Optional.empty());

    /**
     * Checks that a known origin has a version and no other has.
     *
     * @throws IllegalArgumentException if that isn't so
     */
    public Origin {
      if (version.isPresent() != (knowledge == Knowledge.KNOWN)) {
        throw new IllegalArgumentException("only a known origin has a version");
      }
    }

    /** Returns a known origin. */
    public static Origin of(SoftwareVersion version) {
      return new Origin(Knowledge.KNOWN, Optional.of(version));
    }
  }

  /** Records that the first event of a stream of this router comes from a version of a pool. */
  void record(StreamId stream, PoolName pool, SoftwareVersion version);

  /**
   * Finds the version that began a stream.
   *
   * @param stream the stream; empty if the caller names none
   * @param pool the pool that goes on with it; a stream of another pool is unknown
   * @param found called once, on the I/O thread, possibly before this method returns
   */
  void find(Optional<StreamId> stream, PoolName pool, Consumer<Origin> found);

  /**
   * Finds the version that began a stream of a customer; where room for questions is short,
   * customers share it evenly.
   *
   * @param customer whose stream it is; empty if callers need no key
   */
  default void find(
      Optional<CustomerId> customer,
      Optional<StreamId> stream,
      PoolName pool,
      Consumer<Origin> found) {
    find(stream, pool, found);
  }
}
