package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.transport.BoundedProtocol;
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

/** Encodes Thrift structures as bytes and decodes them. */
public final class ThriftCodec {
  /** Maximum size of an encoded structure, in bytes. */
  static final int MAX_BYTES = 64 << 20;

  private ThriftCodec() {}

  /**
   * Returns the encoded form of a structure. Equal structures have equal encodings.
   *
   * @throws IllegalArgumentException if a required field is missing
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
   * Decodes a structure.
   *
   * @param bytes the encoded form, from {@link #encode}
   * @param target an empty structure, which receives the fields
   * @throws TException if the bytes are malformed or state too many elements of containers
   */
  public static <T extends TBase<?, ?>> T decode(byte[] bytes, T target) throws TException {
    target.read(BoundedProtocol.on(new TMemoryInputTransport(limits(), bytes)));
    return target;
  }

  /**
   * Decodes a snapshot, which may have as many elements as its bytes hold.
   *
   * @param bytes the encoded form, from {@link #encode}
   * @param target an empty structure, which receives the fields
   * @throws TException if the bytes are malformed
   */
  public static <T extends TBase<?, ?>> T decodeSnapshot(byte[] bytes, T target) throws TException {
    target.read(BoundedProtocol.ofStoredState(new TMemoryInputTransport(limits(), bytes)));
    return target;
  }

  static TConfiguration limits() {
    return TConfiguration.custom().setMaxMessageSize(MAX_BYTES).setMaxFrameSize(MAX_BYTES).build();
  }

  /** Returns the SHA-256 digest of an encoded structure, in hexadecimal. */
  static String digest(TBase<?, ?> value) {
    try {
      byte[] hash = MessageDigest.getInstance("SHA-256").digest(encode(value));
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing", e);
    }
  }
}
