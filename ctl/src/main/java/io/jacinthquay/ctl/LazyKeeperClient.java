package io.jacinthquay.ctl;

import io.jacinthquay.ctl.command.CommandLine;
import io.jacinthquay.ctl.command.Context;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.jacinthquay.wire.client.KeeperCall;
import io.jacinthquay.wire.client.KeeperClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;

/** Calls the keepers; reads the TLS identity and connects on the first call. */
final class LazyKeeperClient implements Context.Keepers, AutoCloseable {
  /** Keepers wait at most this long for confirmations; the wait is added to the call timeout. */
  private static final int MAX_CONFIRM_WAIT_MILLIS = 60_000;

  private final Namespace args;
  private KeeperClient client;

  LazyKeeperClient(Namespace args) {
    this.args = args;
  }

  @Override
  public <T> Either<Failure, T> call(KeeperCall<T> call) {
    if (client == null) {
      try {
        client = open();
      } catch (IOException | IllegalArgumentException e) {
        return Either.left(Failure.of(ResultCode.SETTINGS_INVALID, e.getMessage()));
      }
    }
    return client.call(call);
  }

  private KeeperClient open() throws IOException {
    String keepers = args.getString(CommandLine.KEEPERS);
    String tls = args.getString(CommandLine.TLS);
    if (keepers == null || tls == null) {
      throw new IllegalArgumentException("--keepers and --tls are required");
    }
    int timeout = args.getInt(CommandLine.TIMEOUT_MILLIS);
    Integer confirm = args.getInt("confirm_ms");
    int confirmWait = confirm == null ? 0 : Math.min(confirm, MAX_CONFIRM_WAIT_MILLIS);
    TlsIdentity identity = TlsIdentity.load(Path.of(tls));
    return new KeeperClient(addresses(keepers), identity, Duration.ofMillis(timeout + confirmWait));
  }

  private static List<InetSocketAddress> addresses(String text) {
    return Arrays.stream(text.split(",")).map(SocketAddresses::parse).toList();
  }

  @Override
  public void close() {
    if (client != null) {
      client.close();
    }
  }
}
