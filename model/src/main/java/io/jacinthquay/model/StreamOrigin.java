package io.jacinthquay.model;

import java.time.Duration;
import java.util.Objects;

/**
 * Which version of an upstream's software began a stream.
 *
 * @param stream the stream
 * @param pool the pool of the upstream
 * @param version the version that wrote the first event
 */
public record StreamOrigin(StreamId stream, PoolName pool, SoftwareVersion version) {
  /** Longest time after its first event in which a caller may take a stream up. */
  public static final Duration LIFETIME = Duration.ofSeconds(60);

  /** Requires all values. */
  public StreamOrigin {
    Objects.requireNonNull(stream, "stream");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(version, "version");
  }
}
