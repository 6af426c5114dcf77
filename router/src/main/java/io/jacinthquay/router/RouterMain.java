package io.jacinthquay.router;

import io.jacinthquay.runtime.Program;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.IOException;

/** The main class of {@code jq-router}. */
public final class RouterMain {
  private RouterMain() {}

  /** Runs the program and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(Program.run(RouterSettings.PARSER, args, RouterMain::service).number());
  }

  private static Service service(Settings settings) {
    try {
      RouterEndpoints endpoints =
          new RouterEndpoints(
              settings.value(RouterSettings.KEEPERS),
              settings.value(RouterSettings.PLATFORM),
              TlsIdentity.load(settings.value(RouterSettings.TLS)));
      return RouterAssembly.withPeers(
          RouterSettings.options(settings), endpoints, settings.value(RouterSettings.PEER_LISTEN));
    } catch (IOException e) {
      throw new IllegalStateException(e.getMessage(), e);
    }
  }
}
