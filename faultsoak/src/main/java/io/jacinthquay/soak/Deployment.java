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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * Where the programs listen and how they are started: by the command lines of the deploy file, each
 * program at a loopback address of its own.
 */
final class Deployment {
  static final int DOMAINS = 3;
  private static final int CONTROL_NET = 1;
  private static final int ROUTER_NET = 2;
  private static final int BEHIND_NET = 3;
  private static final Pattern ROLE = Pattern.compile("(?m)^\\[roles\\.(\\w+)]\\s+run = \"(.*)\"$");
  private static final Pattern PLACE = Pattern.compile("\\{\\{([^}]+)}}");

  private final Path root;
  private final SoakPlan plan;
  private final InetSocketAddress platform;
  private final Map<String, String> commands = new HashMap<>();
  private final int net;
  private final int operators;
  private final int inner;
  private final int metrics;

  /**
   * Reads the deploy file and finds free ports.
   *
   * @param root folder that holds the deploy file and what the build made
   * @param platform where the platform answers
   * @throws IOException if the file can't be read, or names no command of a role
   */
  Deployment(Path root, SoakPlan plan, InetSocketAddress platform) throws IOException {
    this.root = root;
    this.plan = plan;
    this.platform = platform;
    Matcher roles = ROLE.matcher(Files.readString(root.resolve("deploy/system.toml")));
    while (roles.find()) {
      commands.put(roles.group(1), roles.group(2));
    }
    if (!commands.keySet().containsAll(List.of("router", "control"))) {
      throw new IOException("deploy/system.toml names no command of a router or a control VM");
    }
    if (!Files.exists(root.resolve("target/platform/jq-platform.jar"))) {
      throw new IOException("the programs are not built: target/platform is missing");
    }
    this.net = 1 + (int) (ProcessHandle.current().pid() % 250);
    this.operators = freePort();
    this.inner = freePort();
    this.metrics = freePort();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Returns the failure domain of the VM or upstream with a number. */
  static String domain(int number) {
    return "domain-" + (char) ('a' + number % DOMAINS);
  }

  private InetSocketAddress at(int kind, int number, int port) {
    byte[] address = {127, (byte) net, (byte) kind, (byte) (number + 1)};
    try {
      return new InetSocketAddress(InetAddress.getByAddress(address), port);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns where the operator reaches a control VM. */
  InetSocketAddress control(int number) {
    return at(CONTROL_NET, number, operators);
  }

  /** Returns where routers and other control VMs reach a control VM. */
  InetSocketAddress innerOf(int control) {
    return at(CONTROL_NET, control, inner);
  }

  /** Returns where a control VM takes what was sent to {@link #innerOf}. */
  InetSocketAddress behindInnerOf(int control) {
    return at(BEHIND_NET, control, inner);
  }

  /** Returns where callers reach a router. */
  InetSocketAddress router(int number) {
    return at(ROUTER_NET, number, operators);
  }

  Path root() {
    return root;
  }

  private String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private Map<String, String> common(String name, int number) {
    Map<String, String> values = new HashMap<>();
    List<String> seeds =
        IntStream.range(0, plan.controls()).mapToObj(i -> text(control(i))).toList();
    values.put("node_name", name);
    values.put("zone", domain(number));
    values.put("seed_nodes", String.join(",", seeds));
    values.put("internal_port_range.0", Integer.toString(inner));
    values.put("internal_port_range.1", Integer.toString(metrics));
    values.put("cloud_api.address", text(platform));
    values.put("fault_tolerance.machines", plan.controls() >= 3 ? "1" : "0");
    values.put("bounds.grace_period_s", "8");
    values.put("bounds.report_window_s", "5");
    values.put("bounds.lease_duration_ms", "3000");
    values.put("bounds.retry_budget_ratio", "0.2");
    values.put("bounds.retry_budget_extra", "50");
    values.put("bounds.budget_window_s", "10");
    values.put("bounds.cold_overage", "1.5");
    values.put("bounds.cold_tolerance", "5");
    return values;
  }

  /** Returns the command line of a router. */
  List<String> routerCommand(int number) {
    Map<String, String> values = common("router-" + number, number);
    values.put("listen_addresses.frontend", text(router(number)));
    values.put("listen_addresses.ready", text(at(ROUTER_NET, number, inner)));
    return command("router", values);
  }

  /** Returns the command line of a control VM. */
  List<String> controlCommand(int number, Path data) {
    Map<String, String> values = common("control-" + number, number);
    values.put("listen_addresses.control_plane", text(control(number)));
    values.put("data_directory", data.toString());
    List<String> command = new ArrayList<>(command("control", values));
    command.add("--inner-bind");
    command.add(text(behindInnerOf(number)));
    return command;
  }

  private List<String> command(String role, Map<String, String> values) {
    Matcher places = PLACE.matcher(commands.get(role));
    StringBuilder line = new StringBuilder();
    while (places.find()) {
      String value = values.get(places.group(1));
      if (value == null) {
        throw new IllegalStateException("the deploy file asks for " + places.group(1));
      }
      places.appendReplacement(line, Matcher.quoteReplacement(value));
    }
    places.appendTail(line);
    return List.of(line.toString().split(" "));
  }
}
