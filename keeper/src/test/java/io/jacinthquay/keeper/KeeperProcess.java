package io.jacinthquay.keeper;

import io.jacinthquay.testkit.process.JvmProcess;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** A keeper that runs in a separate JVM. */
final class KeeperProcess implements AutoCloseable {
  private final String name;
  private final int port;
  private final String peers;
  private final Path folder;
  private JvmProcess process;

  KeeperProcess(String name, int port, String peers, Path folder) {
    this.name = name;
    this.port = port;
    this.peers = peers;
    this.folder = folder;
  }

  String name() {
    return name;
  }

  int port() {
    return port;
  }

  void start() throws IOException {
    List<String> args =
        List.of(
            "--name=" + name,
            "--domain=a",
            "--listen=127.0.0.1:" + port,
            "--data=" + folder.resolve(name),
            "--tls=" + folder.resolve("tls-" + name),
            "--peers=" + peers);
    process = JvmProcess.start(KeeperMain.class, args, folder.resolve(name + ".log"));
  }

  void kill() throws InterruptedException {
    process.kill();
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null) {
      process.close();
    }
  }
}
