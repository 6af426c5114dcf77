package io.jacinthquay.wire.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TProtocolException;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class BoundedProtocolTest {
  /** Views with many numbers must pass where as many structures would fill the heap. */
  @ParameterizedTest
  @CsvSource({
    TType.I64 + ", 800000, 800000, true",
    TType.I64 + ", 3000000, 3000000, false",
    TType.STRUCT + ", 200000, 200000, true",
    TType.STRUCT + ", 300000, 300000, false",
    TType.STRUCT + ", 5, 4, false",
    TType.STRUCT + ", 2147483647, 0, false",
    TType.STRING + ", 0, 0, true"
  })
  void listIsReadIfItsElementsAreThereAndFitTheMemory(
      byte type, int stated, int bytes, boolean expected) throws TException {
    TMemoryBuffer message = new TMemoryBuffer(bytes + 8);
    new TCompactProtocol(message).writeListBegin(new TList(type, stated));
    message.write(new byte[bytes]);
    TMemoryInputTransport input =
        new TMemoryInputTransport(message.getArray(), 0, message.length());
    assertEquals(expected, isRead(input, stated));
  }

  private static boolean isRead(TMemoryInputTransport input, int stated) throws TException {
    try {
      assertEquals(stated, BoundedProtocol.on(input).readListBegin().size);
      return true;
    } catch (TProtocolException e) {
      assertEquals(TProtocolException.SIZE_LIMIT, e.getType());
      return false;
    }
  }
}
