package review;

import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's programs as processes, started with the
 * commands of the deploy file. Each machine has its own loopback address; ports are the same on all.
 */
final class Stage implements AutoCloseable {
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]+)}}");
  private static final String[] ZONES = {"ma-north-a", "ma-north-b", "ma-north-c"};
  private static final long START_NANOS = System.nanoTime();

  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final BufferedWriter record;
  private final Map<String, String> commands = new HashMap<>();
  private final Map<String, Process> processes = new ConcurrentSkipListMap<>();
  private final String net;
  private final int controlPort;
  private final int frontPort;
  private final int readyPort;
  private final int innerPort;
  private final int metricsPort;
  private final int cloudPort;
  private final int controls;
  private boolean ending;
  private boolean closed;

  /**
   * Returns a deployment of which nothing runs yet.
   *
   * @param caseFolder folder of the case, which gets record.txt
   * @param controls number of core machines
   */
  Stage(Path caseFolder, int controls) throws IOException {
    this.controls = controls;
    folder = Files.createTempDirectory("review");
    record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
    ThreadLocalRandom random = ThreadLocalRandom.current();
    net = "127." + random.nextInt(10, 250) + "." + random.nextInt(10, 250) + ".";
    controlPort = freePort();
    frontPort = freePort();
    readyPort = freePort();
    innerPort = freePort();
    metricsPort = freePort();
    cloudPort = freePort();
    // Also ends the processes if the case itself is stopped.
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    String role = "";
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("[roles.")) {
        role = line.substring("[roles.".length(), line.length() - 1);
      } else if (line.startsWith("run = \"")) {
        commands.put(role, line.substring("run = \"".length(), line.length() - 1));
      }
    }
  }

  /** Returns a port below the range of client ports that is free now. */
  private int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getByName(net + "1"), port));
        return port;
      } catch (java.net.BindException e) {
        continue;
      }
    }
  }

  static double seconds() {
    return (System.nanoTime() - START_NANOS) / 1e9;
  }

  /** Writes a line with the time since the start to record.txt. */
  void note(String format, Object... arguments) {
    String line =
        String.format(Locale.ROOT, "%8.3f ", seconds())
            + String.format(Locale.ROOT, format, arguments);
    synchronized (record) {
      if (closed) {
        return;
      }
      try {
        record.write(line);
        record.newLine();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    }
  }

  String ip(int host) {
    return net + host;
  }

  InetSocketAddress control(int index) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(ip(11 + index)), controlPort);
  }

  InetSocketAddress front(int index) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(ip(51 + index)), frontPort);
  }

  InetSocketAddress ready(int index) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(ip(51 + index)), readyPort);
  }

  InetSocketAddress cloud() throws IOException {
    return new InetSocketAddress(InetAddress.getByName(ip(3)), cloudPort);
  }

  InetSocketAddress replica(int index) throws IOException {
    return new InetSocketAddress(InetAddress.getByName(ip(101 + index)), controlPort);
  }

  static String zone(int index) {
    return ZONES[index % ZONES.length];
  }

  int controls() {
    return controls;
  }

  void startControls() throws IOException {
    for (int i = 0; i < controls; i++) {
      startControl(i);
    }
  }

  void startControl(int index) throws IOException {
    Map<String, String> fields = commonFields("core", index, ip(11 + index));
    fields.put("listen_addresses.control_plane", ip(11 + index) + ":" + controlPort);
    fields.put("cloud_api.address", ip(3) + ":" + cloudPort);
    fields.put("data_directory", dataFolder(index).toString());
    start("control", "core-" + index, fields);
  }

  Path dataFolder(int index) {
    return folder.resolve("data-" + index);
  }

  void startRouter(int index) throws IOException {
    Map<String, String> fields = commonFields("frontend", index, ip(51 + index));
    fields.put("listen_addresses.frontend", ip(51 + index) + ":" + frontPort);
    fields.put("listen_addresses.ready", ip(51 + index) + ":" + readyPort);
    start("router", "frontend-" + index, fields);
  }

  private Map<String, String> commonFields(String machineClass, int index, String ip) {
    Map<String, String> fields = new HashMap<>();
    fields.put("node_name", machineClass + "-" + zone(index) + "-" + (1 + index / ZONES.length));
    fields.put("zone", zone(index));
    fields.put("ip_address", ip);
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < Math.min(3, controls); i++) {
      seeds.add(ip(11 + i) + ":" + controlPort);
    }
    fields.put("seed_nodes", String.join(",", seeds));
    fields.put("internal_port_range.0", Integer.toString(innerPort));
    fields.put("internal_port_range.1", Integer.toString(metricsPort));
    fields.put("fault_tolerance.machines", "1");
    // The bounds of afr-tickets.
    fields.put("bounds.grace_period_s", "8");
    fields.put("bounds.report_window_s", "5");
    fields.put("bounds.retry_budget_ratio", "0.2");
    fields.put("bounds.retry_budget_extra", "58");
    fields.put("bounds.budget_window_s", "10");
    fields.put("bounds.cold_overage", "1.5");
    fields.put("bounds.cold_tolerance", "5");
    fields.put("bounds.lease_duration_ms", "3000");
    return fields;
  }

  private void start(String role, String name, Map<String, String> fields) throws IOException {
    List<String> words = new ArrayList<>();
    for (String word : commands.get(role).split(" ")) {
      Matcher matcher = PLACEHOLDER.matcher(word);
      StringBuilder filled = new StringBuilder();
      while (matcher.find()) {
        String value = fields.get(matcher.group(1));
        if (value == null) {
          throw new IOException("no value for " + matcher.group(1));
        }
        matcher.appendReplacement(filled, Matcher.quoteReplacement(value));
      }
      matcher.appendTail(filled);
      words.add(filled.toString());
    }
    File log = folder.resolve(name + ".log").toFile();
    ProcessBuilder builder =
        new ProcessBuilder(words)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    synchronized (processes) {
      if (ending) {
        return;
      }
      Process process = builder.start();
      processes.put(name, process);
      note("start %s pid=%d", name, process.pid());
    }
  }

  /** Waits until a router says that it is ready; returns false after ten seconds. */
  boolean awaitReady(int index) throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      try (Http.Connection connection = new Http.Connection(ready(index), 1_000)) {
        connection.send("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n", new byte[0]);
        if (connection.receive().status() == 200) {
          return true;
        }
      } catch (IOException e) {
        Thread.sleep(100);
        continue;
      }
      Thread.sleep(100);
    }
    return false;
  }

  Process process(String name) {
    return processes.get(name);
  }

  /** Sends a signal to a process that this deployment started. */
  void signal(String name, String signal) throws IOException {
    if (!processes.get(name).isAlive()) {
      return;
    }
    note("signal %s to %s", signal, name);
    Process kill =
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start();
    try {
      kill.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the last lines of a program's output. */
  List<String> tail(String name, int lines) throws IOException {
    List<String> all = Files.readAllLines(folder.resolve(name + ".log"));
    return all.subList(Math.max(0, all.size() - lines), all.size());
  }

  /** Returns the lines of a program's output that contain a text. */
  List<String> grep(String name, String text) throws IOException {
    try (Stream<String> lines = Files.lines(folder.resolve(name + ".log"))) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  /** Kills all processes that this deployment started, and starts no more. */
  private void endProcesses() {
    synchronized (processes) {
      ending = true;
      processes.values().forEach(Process::destroyForcibly);
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Process process : processes.values()) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") != null) {
      System.err.println("kept " + folder);
    } else {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }
    synchronized (record) {
      closed = true;
      record.close();
    }
  }
}
