package io.jacinthquay.wire.transport;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolException;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TTransport;

/**
 * A compact protocol that bounds how many elements a message may have.
 *
 * <p>Generated code allocates a container by the size that its header states, and an object for
 * each element. Thrift checks that size against the largest message only, and not at all for lists
 * of structures, so a message of a few bytes could take all of the heap.
 */
public final class BoundedProtocol extends TCompactProtocol {
  /**
   * Most memory that the elements of all containers of a message may take, in bytes; programs have
   * a heap of 96 MB or more.
   */
  private static final long MAX_ELEMENT_BYTES = 50L * 1024 * 1024;

  /** Memory of a structure, a container or a text, and of its reference, in bytes. */
  private static final int OBJECT_BYTES = 250;

  /** Memory of a boxed number and of its reference, in bytes. */
  private static final int NUMBER_BYTES = 24;

  private final long maxElementBytes;
  private long elementBytes;

  private BoundedProtocol(TTransport transport, long maxElementBytes) {
    super(transport);
    this.maxElementBytes = maxElementBytes;
  }

  /** Returns a protocol that reads whole messages from a transport. */
  public static BoundedProtocol on(TTransport transport) {
    return new BoundedProtocol(transport, MAX_ELEMENT_BYTES);
  }

  /**
   * Returns a protocol that checks only that the elements of a container are there, for a state
   * that this program has held before.
   */
  public static BoundedProtocol ofStoredState(TTransport transport) {
    return new BoundedProtocol(transport, Long.MAX_VALUE);
  }

  /** Creates protocols for the connections of a server. */
  static final class Factory implements TProtocolFactory {
    private static final long serialVersionUID = 1L;

    @Override
    public TProtocol getProtocol(TTransport transport) {
      return on(transport);
    }
  }

  @Override
  public TMessage readMessageBegin() throws TException {
    elementBytes = 0;
    return super.readMessageBegin();
  }

  @Override
  public TList readListBegin() throws TException {
    TList list = super.readListBegin();
    count(list.size, bytesOf(list.elemType));
    return list;
  }

  @Override
  public TSet readSetBegin() throws TException {
    TSet set = super.readSetBegin();
    count(set.size, bytesOf(set.elemType));
    return set;
  }

  @Override
  public TMap readMapBegin() throws TException {
    TMap map = super.readMapBegin();
    count(map.size, bytesOf(map.keyType) + bytesOf(map.valueType));
    return map;
  }

  private static int bytesOf(byte type) {
    return switch (type) {
      case TType.STRUCT, TType.STRING, TType.LIST, TType.SET, TType.MAP -> OBJECT_BYTES;
      default -> NUMBER_BYTES;
    };
  }

  /** Checks a container; each of its elements takes one byte of the message or more. */
  private void count(int size, int bytesEach) throws TException {
    int remaining = getTransport().getBytesRemainingInBuffer();
    if (remaining < 0 && size >= 0) {
      getTransport().checkReadBytesAvailable(size);
    }
    if (size < 0 || (remaining >= 0 && size > remaining)) {
      throw new TProtocolException(
          TProtocolException.SIZE_LIMIT,
          "a container states " + size + " elements in " + remaining + " bytes");
    }
    elementBytes += (long) size * bytesEach;
    if (elementBytes > maxElementBytes) {
      throw new TProtocolException(
          TProtocolException.SIZE_LIMIT, "the elements of a message take too much memory");
    }
  }
}
