package io.jacinthquay.wire.transport;

import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.ssl.SSLSocket;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * One connection to a {@link SecureServer}; used by one thread at a time.
 *
 * <pre>{@code
 * try (SecureChannel channel = SecureChannel.open(address, identity, 1_000)) {
 *   new Keeper.Client(channel.protocol()).status();
 * }
 * }</pre>
 */
public final class SecureChannel implements Channel {
  private final TSocket socket;
  private final TProtocol protocol;

  private SecureChannel(TSocket socket, TProtocol protocol) {
    this.socket = socket;
    this.protocol = protocol;
  }

  /**
   * Opens a connection and completes the handshake.
   *
   * @param address the server
   * @param identity the client's certificate and trusted authority
   * @param timeoutMillis the timeout of the connect and of each read, in milliseconds
   * @throws IOException if the server cannot be reached or rejects the handshake
   */
  public static SecureChannel open(
      InetSocketAddress address, TlsIdentity identity, int timeoutMillis) throws IOException {
    Socket tcpSocket = new Socket();
    try {
      tcpSocket.setTcpNoDelay(true);
      tcpSocket.connect(address, timeoutMillis);
      tcpSocket.setSoTimeout(timeoutMillis);
      SSLSocket tlsSocket =
          (SSLSocket)
              identity
                  .context()
                  .getSocketFactory()
                  .createSocket(tcpSocket, address.getHostString(), address.getPort(), true);
      tlsSocket.startHandshake();
      TSocket socket = new TSocket(tlsSocket);
      socket.setTimeout(timeoutMillis);
      BoundedFrames framed = new BoundedFrames(socket, SecureServer.MAX_MESSAGE_BYTES);
      return new SecureChannel(socket, BoundedProtocol.on(framed));
    } catch (IOException | TTransportException e) {
      tcpSocket.close();
      throw e instanceof IOException io ? io : new IOException(e);
    }
  }

  /**
   * Sets the timeout of each read.
   *
   * @param timeoutMillis the timeout in milliseconds
   */
  public void setReadTimeout(int timeoutMillis) {
    socket.setSocketTimeout(timeoutMillis);
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
