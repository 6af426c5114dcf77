package io.jacinthquay.wire.convert;

import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import io.jacinthquay.wire.gen.StreamQuestionMessage;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Converts origins of streams and questions for them. */
public final class OriginMessages {
  private static final byte[] NO_STREAM = new byte[0];

  private OriginMessages() {}

  /** Returns the message for an origin. */
  public static StreamOriginMessage toMessage(OriginTable.Aged aged) {
    StreamOrigin origin = aged.origin();
    return new StreamOriginMessage(
        ByteBuffer.wrap(origin.stream().bytes()),
        origin.pool().value(),
        origin.version().value(),
        aged.ageMillis());
  }

  /**
   * Returns the origin that a message carries.
   *
   * @throws IllegalArgumentException if a value is missing or out of range
   */
  public static OriginTable.Aged toOrigin(StreamOriginMessage message) {
    if (!message.isSetStream() || !message.isSetPool() || !message.isSetVersion()) {
      throw new IllegalArgumentException("an origin needs a stream, a pool and a version");
    }
    return new OriginTable.Aged(
        new StreamOrigin(
            StreamId.of(message.getStream()),
            new PoolName(message.getPool()),
            new SoftwareVersion(message.getVersion())),
        message.getAgeMillis());
  }

  /**
   * Returns the message for a question.
   *
   * @param stream the stream; empty to ask only for the version of the pool
   */
  public static StreamQuestionMessage toQuestion(Optional<StreamId> stream, PoolName pool) {
    return new StreamQuestionMessage(
        ByteBuffer.wrap(stream.map(StreamId::bytes).orElse(NO_STREAM)), pool.value());
  }

  /**
   * Returns the stream that a question names.
   *
   * @throws IllegalArgumentException if its id is not valid
   */
  public static Optional<StreamId> stream(StreamQuestionMessage question) {
    byte[] bytes = question.getStream();
    return bytes == null || bytes.length == 0 ? Optional.empty() : Optional.of(StreamId.of(bytes));
  }
}
