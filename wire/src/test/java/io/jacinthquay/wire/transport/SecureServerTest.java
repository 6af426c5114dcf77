package io.jacinthquay.wire.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.gen.ConfigFeed;
import io.jacinthquay.wire.gen.ConfigPage;
import io.jacinthquay.wire.gen.FeedPosition;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.apache.thrift.TException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SecureServerTest {
  private static final int TIMEOUT_MILLIS = 10_000;

  @TempDir Path folder;
  private CertificateAuthority authority;
  private SecureServer server;

  @BeforeEach
  void startServer() throws IOException {
    authority = CertificateAuthority.create();
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    TlsIdentity identity = issue(authority, "keeper-1", PeerRole.KEEPER);
    server =
        new SecureServer(
            anyPort,
            identity,
            8,
            peer -> new ConfigFeed.Processor<ConfigFeed.Iface>((position, wait) -> page(peer)));
    server.start();
  }

  @AfterEach
  void stopServer() {
    server.stop();
  }

  private static ConfigPage page(PeerIdentity peer) {
    return new ConfigPage(peer.role().ordinal(), false, List.of(), peer.name().length());
  }

  private TlsIdentity issue(CertificateAuthority issuer, String name, PeerRole role)
      throws IOException {
    Path identityFolder = folder.resolve(name);
    issuer.issue(new PeerIdentity(name, role), identityFolder);
    return TlsIdentity.load(identityFolder);
  }

  private SecureChannel open(TlsIdentity identity) throws IOException {
    InetAddress host = InetAddress.getLoopbackAddress();
    return SecureChannel.open(new InetSocketAddress(host, server.port()), identity, TIMEOUT_MILLIS);
  }

  private static ConfigPage call(SecureChannel channel) throws TException {
    FeedPosition position = new FeedPosition("entry-1", "a", 0, Map.of());
    return new ConfigFeed.Client(channel.protocol()).changes(position, 0);
  }

  @Test
  void passesNameAndRoleOfPeerToProcessor() throws Exception {
    try (SecureChannel channel = open(issue(authority, "entry-1", PeerRole.ROUTER))) {
      ConfigPage page = call(channel);
      assertEquals(PeerRole.ROUTER.ordinal(), page.getNewest());
      assertEquals("entry-1".length(), page.getKeysCurrentMillis());
    }
  }

  @Test
  void rejectsPeerOfAnotherAuthority() throws Exception {
    TlsIdentity foreignIdentity = issue(CertificateAuthority.create(), "entry-1", PeerRole.ROUTER);
    assertThrows(
        Exception.class,
        () -> {
          try (SecureChannel channel = open(foreignIdentity)) {
            call(channel);
          }
        });
  }

  @Test
  void servesOtherPeersWhileOneSendsPlainText() throws Exception {
    try (Socket plain = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      plain.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes("US-ASCII"));
      try (SecureChannel channel = open(issue(authority, "entry-2", PeerRole.ROUTER))) {
        assertEquals(PeerRole.ROUTER.ordinal(), call(channel).getNewest());
      }
    }
  }
}
