package io.jacinthquay.keeper.state;

import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TMemoryInputTransport;

/** Turns Thrift structures into bytes and back. */
public final class ThriftCodec {
  /** Largest structure in bytes. */
  static final int MAX_BYTES = 64 << 20;

  private ThriftCodec() {}

  /**
   * Returns the bytes of a structure; equal structures have equal bytes.
   *
   * @throws IllegalArgumentException if a required part is missing
   */
  public static byte[] encode(TBase<?, ?> value) {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      value.write(new TCompactProtocol(new TIOStreamTransport(bytes)));
      return bytes.toByteArray();
    } catch (TException e) {
      throw new IllegalArgumentException("cannot encode " + value.getClass(), e);
    }
  }

  /**
   * Reads a structure.
   *
   * @param bytes what {@link #encode} returned
   * @param empty receives the parts
   * @throws TException if the bytes are malformed
   */
  public static <T extends TBase<?, ?>> T decode(byte[] bytes, T empty) throws TException {
    empty.read(new TCompactProtocol(new TMemoryInputTransport(limits(), bytes)));
    return empty;
  }

  static TConfiguration limits() {
    return TConfiguration.custom().setMaxMessageSize(MAX_BYTES).setMaxFrameSize(MAX_BYTES).build();
  }

  /** Returns the SHA-256 of a structure in hexadecimal. */
  static String digest(TBase<?, ?> value) {
    try {
      byte[] hash = MessageDigest.getInstance("SHA-256").digest(encode(value));
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing", e);
    }
  }
}
