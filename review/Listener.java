package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listening socket with a thread for each connection. */
final class Listener implements AutoCloseable {
  /** Serves one connection until it ends. */
  interface Service {
    void serve(Socket socket) throws IOException, InterruptedException;
  }

  private final ServerSocket server = new ServerSocket();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  Listener(InetSocketAddress address, Service service) throws IOException {
    server.setReuseAddress(true);
    server.bind(address, 512);
    Thread acceptor = new Thread(() -> accept(service), "accept " + address);
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private void accept(Service service) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Thread thread = new Thread(() -> serve(service, socket));
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Service service, Socket socket) {
    try (socket) {
      service.serve(socket);
    } catch (IOException e) {
      return; // the peer closed the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  /** Ends the listening socket and all connections. */
  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
