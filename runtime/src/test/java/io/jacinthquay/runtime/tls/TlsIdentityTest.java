package io.jacinthquay.runtime.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.concurrent.CompletableFuture;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests loading of TLS identities and mutual authentication. */
class TlsIdentityTest {
  private static final PeerIdentity ROUTER = new PeerIdentity("entry-1", PeerRole.ROUTER);
  private static final PeerIdentity KEEPER = new PeerIdentity("keeper-1", PeerRole.KEEPER);

  @TempDir Path folder;

  @Test
  void serverReadsNameAndRoleOfClient() throws Exception {
    CertificateAuthority authority = CertificateAuthority.create();
    assertEquals(ROUTER, peerNameSeenByServer(authority, authority));
  }

  @Test
  void rejectsClientOfAnotherAuthority() {
    CertificateAuthority serverAuthority = CertificateAuthority.create();
    CertificateAuthority clientAuthority = CertificateAuthority.create();
    assertThrows(IOException.class, () -> peerNameSeenByServer(serverAuthority, clientAuthority));
  }

  @Test
  void loadFailsIfFilesAreMissing() {
    assertThrows(IOException.class, () -> TlsIdentity.load(folder.resolve("none")));
  }

  private PeerIdentity peerNameSeenByServer(
      CertificateAuthority serverAuthority, CertificateAuthority clientAuthority) throws Exception {
    serverAuthority.issue(KEEPER, folder.resolve("server"));
    clientAuthority.issue(ROUTER, folder.resolve("client"));
    TlsIdentity server = TlsIdentity.load(folder.resolve("server"));
    TlsIdentity client = TlsIdentity.load(folder.resolve("client"));
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (SSLServerSocket listener =
        (SSLServerSocket)
            server.context().getServerSocketFactory().createServerSocket(0, 1, loopback)) {
      listener.setNeedClientAuth(true);
      CompletableFuture<Void> connecting =
          CompletableFuture.runAsync(() -> connect(client, loopback, listener.getLocalPort()));
      try (SSLSocket accepted = (SSLSocket) listener.accept()) {
        accepted.startHandshake();
        X509Certificate certificate =
            (X509Certificate) accepted.getSession().getPeerCertificates()[0];
        return PeerIdentity.of(certificate).orElseThrow();
      } finally {
        connecting.handle((done, failed) -> done).join();
      }
    }
  }

  private static void connect(TlsIdentity client, InetAddress address, int port) {
    try (SSLSocket socket =
        (SSLSocket) client.context().getSocketFactory().createSocket(address, port)) {
      socket.startHandshake();
      socket.getInputStream().read();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
