package io.jacinthquay.keeper;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A keeper in a JVM of its own, on the test's class path. */
final class KeeperProcess implements AutoCloseable {
  private final String name;
  private final int port;
  private final String peers;
  private final Path folder;
  private Process process;

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
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    List<String> command =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx256m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            classPath,
            KeeperMain.class.getName(),
            "--name=" + name,
            "--domain=a",
            "--listen=127.0.0.1:" + port,
            "--data=" + folder.resolve(name),
            "--tls=" + folder.resolve("tls-" + name),
            "--peers=" + peers);
    File log = folder.resolve(name + ".log").toFile();
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  /** Ends the process at once, as {@code kill -9} does. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null && process.isAlive()) {
      process.destroy();
      if (!process.waitFor(10, TimeUnit.SECONDS)) {
        kill();
      }
    }
  }
}
