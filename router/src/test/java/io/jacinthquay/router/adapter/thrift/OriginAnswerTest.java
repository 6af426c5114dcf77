package io.jacinthquay.router.adapter.thrift;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OriginAnswerTest {
  private static final StreamId STREAM = StreamId.of(Optional.empty(), "attempt");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Streams of two versions were joined: a stream that isn't found is known only where one version
   * has served, and unknown only once all routers have had the time to report it.
   */
  @ParameterizedTest
  @CsvSource({
    // named, pool of the stream, only version, recovering, asked ms ago; outcome, version
    "true, p, , false, 0, FOUND, v1",
    "true, p, v2, true, 0, FOUND, v1",
    "true, other, , false, 0, OTHER_POOL,",
    "true, other, v2, false, 0, OTHER_POOL,",
    "true, , v2, false, 0, ONLY_VERSION, v2",
    "true, , v2, true, 0, ,",
    "true, , , false, 499, ,",
    "true, , , false, 500, UNKNOWN,",
    "true, , , true, 900, ,",
    "false, , v2, false, 0, ONLY_VERSION, v2",
    "false, , v2, true, 0, ,",
    "false, , , false, 0, UNKNOWN,",
    "false, , , true, 900, ,"
  })
  void resolvesAQuestion(
      boolean named,
      String poolOfStream,
      String onlyVersion,
      boolean recovering,
      long askedMillisAgo,
      OriginMonitor.Outcome outcome,
      String version) {
    long now = 5_000_000_000L;
    StreamOriginsMessage message =
        new StreamOriginsMessage(
            true,
            poolOfStream == null
                ? List.of()
                : List.of(
                    new StreamOriginMessage(
                        ByteBuffer.wrap(STREAM.bytes()), poolOfStream, "v1", 0)),
            onlyVersion == null ? Map.of() : Map.of("p", onlyVersion));
    message.setRecovering(recovering);
    OriginQuestion question =
        new OriginQuestion(
            Optional.empty(),
            named ? Optional.of(STREAM) : Optional.empty(),
            new PoolName("p"),
            now - askedMillisAgo * NANOS_PER_MILLI,
            origin -> {});
    Optional<OriginAnswer.Resolution> resolution = OriginAnswer.of(message, now).resolve(question);
    assertEquals(Optional.ofNullable(outcome), resolution.map(OriginAnswer.Resolution::outcome));
    assertEquals(
        Optional.ofNullable(version),
        resolution.flatMap(r -> r.origin().version()).map(v -> v.value()));
  }
}
