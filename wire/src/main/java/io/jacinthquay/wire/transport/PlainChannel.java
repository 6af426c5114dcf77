package io.jacinthquay.wire.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;

/** A connection to a {@link PlainServer}, for trusted networks; used by one thread at a time. */
public final class PlainChannel implements Channel {
  private final TSocket socket;
  private final TProtocol protocol;

  private PlainChannel(TSocket socket, TProtocol protocol) {
    this.socket = socket;
    this.protocol = protocol;
  }

  /**
   * Opens a connection.
   *
   * @param address the server
   * @param connectMillis the connect timeout, in milliseconds
   * @param readMillis the timeout of each read, in milliseconds
   * @throws IOException if the server cannot be reached
   */
  public static PlainChannel open(InetSocketAddress address, int connectMillis, int readMillis)
      throws IOException {
    Socket tcpSocket = new Socket();
    try {
      tcpSocket.setTcpNoDelay(true);
      tcpSocket.connect(address, connectMillis);
      tcpSocket.setSoTimeout(readMillis);
      TSocket socket = new TSocket(tcpSocket);
      socket.setTimeout(readMillis);
      BoundedFrames framed = new BoundedFrames(socket, PlainServer.MAX_MESSAGE_BYTES);
      return new PlainChannel(socket, BoundedProtocol.on(framed));
    } catch (IOException | TTransportException e) {
      tcpSocket.close();
      throw e instanceof IOException io ? io : new IOException(e);
    }
  }

  @Override
  public TProtocol protocol() {
    return protocol;
  }

  @Override
  public void close() {
    socket.close();
  }
}
