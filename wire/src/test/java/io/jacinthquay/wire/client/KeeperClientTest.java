package io.jacinthquay.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.gen.CallFailed;
import io.jacinthquay.wire.gen.Keeper;
import io.jacinthquay.wire.gen.KeeperStatus;
import io.jacinthquay.wire.transport.SecureServer;
import io.vavr.control.Either;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class KeeperClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  @TempDir Path folder;
  private TlsIdentity identity;
  private final List<SecureServer> servers = new ArrayList<>();

  @BeforeEach
  void issueIdentity() throws IOException {
    CertificateAuthority.create().issue(new PeerIdentity("all", PeerRole.OPERATOR), folder);
    identity = TlsIdentity.load(folder);
  }

  @AfterEach
  void stopServers() {
    servers.forEach(SecureServer::stop);
  }

  private InetSocketAddress serve(KeeperCall<KeeperStatus> status) {
    Keeper.Iface handler =
        (Keeper.Iface)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Keeper.Iface.class},
                (proxy, method, args) -> status.invoke(null));
    InetAddress host = InetAddress.getLoopbackAddress();
    SecureServer server =
        new SecureServer(
            new InetSocketAddress(host, 0), identity, 8, peer -> new Keeper.Processor<>(handler));
    server.start();
    servers.add(server);
    return new InetSocketAddress(host, server.port());
  }

  private Either<Failure, KeeperStatus> status(InetSocketAddress... keepers) {
    try (KeeperClient client = new KeeperClient(List.of(keepers), identity, TIMEOUT)) {
      return client.call(Keeper.Iface::status);
    }
  }

  private static KeeperStatus statusOf(String name) {
    return new KeeperStatus().setName(name);
  }

  private static KeeperStatus fail(ResultCode code) throws TException {
    throw new CallFailed(code.number(), "refused");
  }

  @Test
  void retriesOnAnotherKeeperAfterNotLeader() {
    InetSocketAddress follower = serve(k -> fail(ResultCode.NOT_LEADER));
    InetSocketAddress leader = serve(k -> statusOf("leader"));
    assertEquals("leader", status(follower, leader).get().getName());
  }

  @Test
  void retriesOnAnotherKeeperIfOneIsDown() {
    InetSocketAddress stopped = serve(k -> statusOf("leader"));
    SecureServer stoppedServer = servers.get(0);
    InetSocketAddress other = serve(k -> statusOf("other"));
    stoppedServer.stop();
    assertEquals("other", status(stopped, other).get().getName());
  }

  @Test
  void returnsOtherFailuresWithoutRetry() {
    InetSocketAddress keeper = serve(k -> fail(ResultCode.NOT_AUTHORISED));
    assertEquals(ResultCode.NOT_AUTHORISED, status(keeper).getLeft().code());
  }
}
