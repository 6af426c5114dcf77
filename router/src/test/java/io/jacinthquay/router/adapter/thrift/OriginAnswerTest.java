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
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class OriginAnswerTest {
  private static final StreamId STREAM = StreamId.of(Optional.empty(), "attempt");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Streams of two versions were joined: a stream that isn't found is known only where one version
   * has served, and unknown only once all routers have had the time to report it. Where several
   * pools may have begun it, the only version of one of them tells nothing.
   */
  @ParameterizedTest
  @CsvSource({
    // named, pools asked, pool that began it, only version, recovering, asked ms ago; outcome,
    // version
    "true, p, p, , false, 0, FOUND, v1",
    "true, p, p, v2, true, 0, FOUND, v1",
    "true, p, other, , false, 0, OTHER_POOL,",
    "true, p, other, v2, false, 0, OTHER_POOL,",
    "true, p, , v2, false, 0, ONLY_VERSION, v2",
    "true, p, , v2, true, 0, ,",
    "true, p, , , false, 499, ,",
    "true, p, , , false, 500, UNKNOWN,",
    "true, p, , , true, 900, ,",
    "false, p, , v2, false, 0, ONLY_VERSION, v2",
    "false, p, , v2, true, 0, ,",
    "false, p, , , false, 0, UNKNOWN,",
    "false, p, , , true, 900, ,",
    "true, p q, q, , false, 0, FOUND, v1",
    "true, p q, , v2, false, 499, ,",
    "true, p q, , v2, false, 500, UNKNOWN,",
    "true, p q, other, v2, false, 0, OTHER_POOL,",
    "true, p q, , v2, true, 900, ,"
  })
  void resolvesAQuestion(
      boolean named,
      String pools,
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
            Stream.of(pools.split(" ")).map(PoolName::new).toList(),
            now - askedMillisAgo * NANOS_PER_MILLI,
            origin -> {});
    Optional<OriginAnswer.Resolution> resolution = OriginAnswer.of(message, now).resolve(question);
    assertEquals(Optional.ofNullable(outcome), resolution.map(OriginAnswer.Resolution::outcome));
    assertEquals(
        Optional.ofNullable(version),
        resolution.flatMap(r -> r.origin().version()).map(v -> v.value()));
  }
}
