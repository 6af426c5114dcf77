package io.jacinthquay.keeper.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.wire.gen.ApplyCommand;
import java.io.ByteArrayInputStream;
import java.util.Arrays;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ThriftCodecTest {
  /** A damaged command of some bytes ended a control VM, and again at each start. */
  @ParameterizedTest
  @CsvSource({
    "100, 100, true, true",
    "100, 99, false, false",
    "2147483647, 0, false, false",
    "300000, 300000, false, true"
  })
  void listsOfStoredStructuresAreBounded(
      int stated, int elements, boolean asCommand, boolean asSnapshot) throws TException {
    TMemoryBuffer buffer = new TMemoryBuffer(elements + 16);
    TCompactProtocol out = new TCompactProtocol(buffer);
    out.writeStructBegin(new TStruct("ApplyCommand"));
    out.writeFieldBegin(new TField("edits", TType.LIST, (short) 3));
    out.writeListBegin(new TList(TType.STRUCT, stated));
    // A structure without fields is the byte that ends it; one more ends the command.
    buffer.write(new byte[elements > 0 ? elements + 1 : 0]);
    byte[] bytes = Arrays.copyOf(buffer.getArray(), buffer.length());
    assertEquals(asCommand, decodes(bytes, ThriftCodec::decode));
    assertEquals(asSnapshot, decodes(bytes, ThriftCodec::decodeSnapshot));
    assertEquals(asSnapshot, decodes(bytes, ThriftCodecTest::decodeItem));
  }

  /** Decodes a structure of a snapshot that is read as a stream. */
  private static ApplyCommand decodeItem(byte[] bytes, ApplyCommand target) throws TException {
    target.read(SnapshotCodec.protocol(new ByteArrayInputStream(bytes)));
    return target;
  }

  private interface Decoder {
    ApplyCommand decode(byte[] bytes, ApplyCommand target) throws TException;
  }

  private static boolean decodes(byte[] bytes, Decoder decoder) {
    try {
      return decoder.decode(bytes, new ApplyCommand()) != null;
    } catch (TException e) {
      return false;
    }
  }
}
