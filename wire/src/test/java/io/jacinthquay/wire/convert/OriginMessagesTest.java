package io.jacinthquay.wire.convert;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.jacinthquay.decision.origin.OriginTable;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.wire.gen.ControlSnapshot;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.StreamOriginMessage;
import io.jacinthquay.wire.gen.StreamOriginsMessage;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.Test;

final class OriginMessagesTest {
  private static final StreamId STREAM = StreamId.of(Optional.empty(), "attempt");

  private static byte[] encode(TBase<?, ?> message) throws TException {
    return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
  }

  private static <T extends TBase<?, ?>> T decode(byte[] bytes, T message) throws TException {
    new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, bytes);
    return message;
  }

  @Test
  void originsSurviveTheWire() throws TException {
    OriginTable.Aged origin =
        new OriginTable.Aged(
            new StreamOrigin(STREAM, new PoolName("engine-pool"), new SoftwareVersion("v1")),
            30_000);
    byte[] bytes = encode(OriginMessages.toMessage(origin));
    // The cost that record 0505 states is counted from this size.
    assertEquals(40, bytes.length);
    assertEquals(origin, OriginMessages.toOrigin(decode(bytes, new StreamOriginMessage())));
    assertEquals(
        Optional.of(STREAM),
        OriginMessages.stream(OriginMessages.toQuestion(Optional.of(STREAM), new PoolName("p"))));
    assertEquals(
        Optional.empty(),
        OriginMessages.stream(OriginMessages.toQuestion(Optional.empty(), new PoolName("p"))));
  }

  /** VMs of the release before send none of the fields about versions of streams. */
  @Test
  void messagesOfAnOlderPeerHaveNoStreams() throws TException {
    RouterReportMessage report = new RouterReportMessage();
    report.setOrigins(null);
    assertEquals(List.of(), decode(encode(report), new RouterReportMessage()).getOrigins());
    ControlSnapshot snapshot = new ControlSnapshot();
    snapshot.setPoolVersions(null);
    assertEquals(List.of(), decode(encode(snapshot), new ControlSnapshot()).getPoolVersions());
    byte[] none = {0};
    assertEquals(0, decode(none, new ControlViewMessage()).getOriginsEpoch());
    StreamOriginsMessage answer = new StreamOriginsMessage(true, List.of(), Map.of());
    assertFalse(decode(encode(answer), new StreamOriginsMessage()).isRecovering());
  }
}
