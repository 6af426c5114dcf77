package io.jacinthquay.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The addresses and command lines of the programs. Command lines come from the deploy file; each
 * program has its own loopback address.
 */
final class Deployment {
  /** Number of failure domains of the upstreams, and of the VMs by default. */
  static final int DOMAINS = 3;

  /** Retries allowed per request. */
  static final double RETRY_RATIO = 0.2;

  /** Additional retries allowed per window. */
  static final int RETRY_EXTRA = 50;

  static final int RETRY_WINDOW_SECONDS = 10;

  private static final int CONTROL_SUBNET = 1;
  private static final int ROUTER_SUBNET = 2;
  private static final int CONTROL_BIND_SUBNET = 3;

  /** Largest number of a VM, which is the last byte of its address less one. */
  private static final int MAX_NUMBER = 253;

  private static final Pattern ROLE = Pattern.compile("(?m)^\\[roles\\.(\\w+)]\\s+run = \"(.*)\"$");
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]+)}}");

  private final Path root;
  private final SoakPlan plan;
  private final InetSocketAddress platform;
  private final Map<String, String> commands = new HashMap<>();

  /** Number of the VM that has each place of a control VM now. */
  private final AtomicIntegerArray controlNumbers;

  /** Second byte of the loopback addresses, derived from the process id. */
  private final int processSubnet;

  private final int publicPort;
  private final int internalPort;
  private final int metricsPort;

  /**
   * Reads the deploy file and finds free ports.
   *
   * @param root folder with the deploy file and the build results
   * @param platform address of the platform's API
   * @throws IOException if the file can't be read or lacks the command of a role, or if the
   *     programs are not built
   */
  Deployment(Path root, SoakPlan plan, InetSocketAddress platform) throws IOException {
    this.root = root;
    this.plan = plan;
    this.platform = platform;
    this.controlNumbers = new AtomicIntegerArray(IntStream.range(0, plan.controls()).toArray());
    Matcher roles = ROLE.matcher(Files.readString(root.resolve("deploy/system.toml")));
    while (roles.find()) {
      commands.put(roles.group(1), roles.group(2));
    }
    if (!commands.keySet().containsAll(List.of("router", "control"))) {
      throw new IOException("deploy/system.toml has no command for a router or a control VM");
    }
    if (!Files.exists(root.resolve("target/platform/jq-platform.jar"))) {
      throw new IOException("the programs are not built: target/platform is missing");
    }
    this.processSubnet = 1 + (int) (ProcessHandle.current().pid() % 250);
    this.publicPort = freePort();
    this.internalPort = freePort();
    this.metricsPort = freePort();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Returns the failure domain of the upstream with a number. */
  static String domain(int number) {
    return domain(number, DOMAINS);
  }

  /** Returns the failure domain of the VM with a number, given the number of domains. */
  static String domain(int number, int domains) {
    return "domain-" + (char) ('a' + number % domains);
  }

  private InetSocketAddress address(int subnet, int number, int port) {
    byte[] bytes = {127, (byte) processSubnet, (byte) subnet, (byte) (number + 1)};
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Gives the place of a control VM to a new VM with a number, and so an address, of its own.
   *
   * @return false if no address is left
   */
  boolean replaceControl(int place) {
    int next = controlNumbers.get(place) + plan.controls();
    if (next > MAX_NUMBER) {
      return false;
    }
    controlNumbers.set(place, next);
    return true;
  }

  /** Returns the number of the VM that has the place of a control VM now. */
  int controlNumber(int place) {
    return controlNumbers.get(place);
  }

  /** Returns the address at which operators reach a control VM. */
  InetSocketAddress control(int place) {
    return address(CONTROL_SUBNET, controlNumber(place), publicPort);
  }

  /** Returns the address at which a control VM serves its metrics. */
  InetSocketAddress controlMetrics(int place) {
    return address(CONTROL_SUBNET, controlNumber(place), metricsPort);
  }

  /** Returns the address at which a router serves its metrics. */
  InetSocketAddress routerMetrics(int number) {
    return address(ROUTER_SUBNET, number, metricsPort);
  }

  /** Returns the address at which routers and other control VMs reach a control VM. */
  InetSocketAddress internalOf(int place) {
    return address(CONTROL_SUBNET, controlNumber(place), internalPort);
  }

  /** Returns the address on which a control VM listens behind the link at {@link #internalOf}. */
  InetSocketAddress internalBindOf(int place) {
    return address(CONTROL_BIND_SUBNET, controlNumber(place), internalPort);
  }

  /** Returns the address at which callers reach a router. */
  InetSocketAddress router(int number) {
    return address(ROUTER_SUBNET, number, publicPort);
  }

  /** Returns the addresses on which a router listens. */
  List<InetSocketAddress> routerPorts(int number) {
    return List.of(
        router(number), address(ROUTER_SUBNET, number, internalPort), routerMetrics(number));
  }

  /** Returns the addresses on which a control VM listens. */
  List<InetSocketAddress> controlPorts(int place) {
    return List.of(control(place), internalBindOf(place), controlMetrics(place));
  }

  Path root() {
    return root;
  }

  private String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Returns the addresses of the control VMs at this moment. */
  private List<String> seeds() {
    return IntStream.range(0, plan.controls()).mapToObj(i -> format(control(i))).toList();
  }

  /** Returns the settings file that the platform gives to each process, as far as it is used. */
  String settings() {
    return seeds().stream().collect(Collectors.joining("\", \"", "seed_nodes = [\"", "\"]\n"));
  }

  private Map<String, String> commonValues(String name, int number) {
    Map<String, String> values = new HashMap<>();
    List<String> seeds = seeds();
    values.put("node_name", name);
    values.put("zone", domain(number, plan.domains()));
    values.put("seed_nodes", String.join(",", seeds));
    values.put("internal_port_range.0", Integer.toString(internalPort));
    values.put("internal_port_range.1", Integer.toString(metricsPort));
    values.put("cloud_api.address", format(platform));
    values.put("cloud_api.rate_per_s", Double.toString(FakePlatform.CALLS_PER_SECOND));
    values.put("fault_tolerance.machines", plan.controls() >= 3 ? "1" : "0");
    values.put("bounds.grace_period_s", "8");
    values.put("bounds.report_window_s", "5");
    values.put("bounds.lease_duration_ms", "3000");
    values.put("bounds.retry_budget_ratio", Double.toString(RETRY_RATIO));
    values.put("bounds.retry_budget_extra", Integer.toString(RETRY_EXTRA));
    values.put("bounds.budget_window_s", Integer.toString(RETRY_WINDOW_SECONDS));
    values.put("bounds.cold_overage", "1.5");
    values.put("bounds.cold_tolerance", "5");
    return values;
  }

  /** Returns the command line of a router. */
  List<String> routerCommand(int number) {
    Map<String, String> values = commonValues("router-" + number, number);
    values.put("listen_addresses.frontend", format(router(number)));
    values.put("listen_addresses.ready", format(address(ROUTER_SUBNET, number, internalPort)));
    return command("router", values);
  }

  /** Returns the command line of a control VM. */
  List<String> controlCommand(int number, Path data) {
    Map<String, String> values = commonValues("control-" + controlNumber(number), number);
    values.put("listen_addresses.control_plane", format(control(number)));
    values.put("data_directory", data.toString());
    List<String> command = new ArrayList<>(command("control", values));
    command.add("--inner-bind");
    command.add(format(internalBindOf(number)));
    return command;
  }

  private List<String> command(String role, Map<String, String> values) {
    Matcher placeholders = PLACEHOLDER.matcher(commands.get(role));
    StringBuilder line = new StringBuilder();
    while (placeholders.find()) {
      String value = values.get(placeholders.group(1));
      if (value == null) {
        throw new IllegalStateException(
            "unknown placeholder in the deploy file: " + placeholders.group(1));
      }
      placeholders.appendReplacement(line, Matcher.quoteReplacement(value));
    }
    placeholders.appendTail(line);
    return List.of(line.toString().split(" "));
  }
}
