package io.jacinthquay.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The processes, fake servers and link proxies of one run. */
final class SoakSystem implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();

  private final Path folder;
  private final FakePlatform platform;
  private final LinkProxy platformLink;
  private final Deployment deployment;
  private final List<FakeUpstream> upstreams = new ArrayList<>();
  private final List<LinkProxy> upstreamLinks = new ArrayList<>();
  private final List<ProgramProcess> controls = new ArrayList<>();
  private final List<LinkProxy> internalLinks = new CopyOnWriteArrayList<>();

  /** Links of control VMs that were replaced; nothing answers behind them. */
  private final List<LinkProxy> formerLinks = new CopyOnWriteArrayList<>();

  private final List<LinkProxy> operatorLinks = new ArrayList<>();
  private final List<ProgramProcess> routers = new ArrayList<>();
  private final List<LinkProxy> routerLinks = new ArrayList<>();

  /**
   * Starts the fake servers and links, but no process.
   *
   * @param root folder with the deploy file and the build results
   * @param folder folder for the output and data of the processes
   */
  SoakSystem(Path root, Path folder, SoakPlan plan, History history) throws IOException {
    this.folder = folder;
    platform = new FakePlatform(history);
    platformLink = new LinkProxy(platform::address);
    deployment = new Deployment(root, plan, platformLink.address());
    writeSettings();
    for (int i = 0; i < plan.upstreams(); i++) {
      FakeUpstream upstream =
          new FakeUpstream(
              i,
              plan.seed() + i,
              plan.rejectedPercent(),
              firstVersion(plan, Documents.placeInService(i)),
              history);
      upstreams.add(upstream);
      int number = i;
      upstreamLinks.add(
          new LinkProxy(
              upstream::address,
              end ->
                  history.add(
                      new History.UpstreamClose(
                          number, end.serverPort(), end.seenNanos(), end.forwardedNanos()))));
      listUpstream(i, false);
    }
    for (int i = 0; i < plan.controls(); i++) {
      int number = i;
      controls.add(
          process("control-" + i, () -> deployment.controlCommand(number, dataFolder(number))));
      internalLinks.add(newInternalLink(i));
      operatorLinks.add(new LinkProxy(() -> deployment.control(number)));
    }
    for (int i = 0; i < plan.routers(); i++) {
      int number = i;
      routers.add(process("router-" + i, () -> deployment.routerCommand(number)));
      routerLinks.add(
          new LinkProxy(
              () -> deployment.router(number),
              end ->
                  history.add(
                      new History.Disconnect(number, end.clientPort(), end.forwardedNanos()))));
    }
  }

  /** Returns the version of an upstream at the start; releases begin within one. */
  private static int firstVersion(SoakPlan plan, int place) {
    return plan.faults().contains(FaultKind.UPSTREAM_RELEASED) ? 1 + place % 2 : 1;
  }

  private ProgramProcess process(String name, Supplier<List<String>> command) {
    return new ProgramProcess(
        deployment.root(), folder.resolve(name + ".log"), settingsFile(), command);
  }

  private LinkProxy newInternalLink(int control) throws IOException {
    InetSocketAddress server = deployment.internalBindOf(control);
    return new LinkProxy(deployment.internalOf(control), () -> server, end -> {});
  }

  private Path settingsFile() {
    return folder.resolve("settings.toml");
  }

  private void writeSettings() throws IOException {
    Path written = folder.resolve("settings.new");
    Files.writeString(written, deployment.settings());
    Files.move(written, settingsFile(), StandardCopyOption.ATOMIC_MOVE);
  }

  private Path dataFolder(int control) {
    return folder.resolve("data-" + deployment.controlNumber(control));
  }

  void start() throws IOException {
    for (ProgramProcess process : processes()) {
      process.start();
    }
  }

  /** Lists an upstream under its current id. */
  void listUpstream(int number, boolean draining) {
    platform.listUpstream(
        number, upstreams.get(number).lifetime(), upstreamLinks.get(number).address(), draining);
  }

  int upstreamCount() {
    return upstreams.size();
  }

  /** Returns how many reads of the platform's list were refused because there were too many. */
  int refusedReads() {
    return platform.refusedReads();
  }

  void unlistUpstream(int number) {
    platform.removeUpstream(number);
  }

  FakeUpstream upstream(int number) {
    return upstreams.get(number);
  }

  LinkProxy upstreamLink(int number) {
    return upstreamLinks.get(number);
  }

  LinkProxy routerLink(int number) {
    return routerLinks.get(number);
  }

  /** Returns the link by which routers and other control VMs reach a control VM. */
  LinkProxy internalLink(int control) {
    return internalLinks.get(control);
  }

  LinkProxy operatorLink(int control) {
    return operatorLinks.get(control);
  }

  LinkProxy platformLink() {
    return platformLink;
  }

  ProgramProcess router(int number) {
    return routers.get(number);
  }

  ProgramProcess control(int number) {
    return controls.get(number);
  }

  /**
   * Starts a VM at a new address with an empty data folder in the place of a control VM, whose
   * process must not be running and whose address does not answer any more.
   *
   * @return false if no address is left
   */
  boolean replaceControl(int control) throws IOException {
    LinkProxy former = internalLinks.get(control);
    former.setMode(LinkProxy.Mode.SILENT);
    former.reset();
    if (!deployment.replaceControl(control)) {
      return false;
    }
    formerLinks.add(former);
    internalLinks.set(control, newInternalLink(control));
    writeSettings();
    controls.get(control).start();
    return true;
  }

  /** Returns an address on which a router listens; the number chooses one of them. */
  InetSocketAddress routerPort(int router, long choice) {
    List<InetSocketAddress> ports = deployment.routerPorts(router);
    return ports.get((int) (choice % ports.size()));
  }

  /** Returns an address on which a control VM listens; the number chooses one of them. */
  InetSocketAddress controlPort(int control, long choice) {
    List<InetSocketAddress> ports = deployment.controlPorts(control);
    return ports.get((int) (choice % ports.size()));
  }

  /** Returns whether each control VM says that it votes in the group. */
  boolean allControlsVote() {
    return IntStream.range(0, controls.size())
        .mapToObj(deployment::controlMetrics)
        .allMatch(address -> MetricsReader.read(address, "jq_control_votes").orElse(0) == 1);
  }

  /** Returns whether a control VM serves its metrics. */
  boolean answersMetrics(int control) {
    return MetricsReader.read(deployment.controlMetrics(control), "jq_control_leads").isPresent();
  }

  /** Returns whether a control VM says that a quorum has confirmed it as the leader. */
  boolean leads(int control) {
    return MetricsReader.read(deployment.controlMetrics(control), "jq_control_leads").orElse(0)
        == 1;
  }

  /** Returns the version of the document that a router follows; empty if it does not tell. */
  OptionalLong versionInForce(int router) {
    return MetricsReader.read(deployment.routerMetrics(router), "jq_forward_document_version");
  }

  /** Returns the part of the shared extra retries that a router uses; empty if it tells none. */
  OptionalLong retryExtraPercent(int router) {
    return MetricsReader.read(deployment.routerMetrics(router), "jq_forward_retry_extra_percent");
  }

  /** Deletes the stored data of a control VM; its process must not be running. */
  void deleteData(int control) throws IOException {
    deleteRecursively(dataFolder(control));
  }

  /** Deletes a folder and its content, if it exists. */
  static void deleteRecursively(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  /** Returns the addresses at which callers reach the routers. */
  List<InetSocketAddress> callerAddresses() {
    return routerLinks.stream().map(LinkProxy::address).toList();
  }

  List<InetSocketAddress> operatorAddresses() {
    return operatorLinks.stream().map(LinkProxy::address).toList();
  }

  /** Ends all faults: every process runs, and every link forwards bytes. */
  void clearFaults() throws IOException {
    platformLink.setMode(LinkProxy.Mode.PASSES);
    routerLinks.forEach(link -> link.setMode(LinkProxy.Mode.PASSES));
    internalLinks.forEach(link -> link.setMode(LinkProxy.Mode.PASSES));
    operatorLinks.forEach(link -> link.setMode(LinkProxy.Mode.PASSES));
    for (int i = 0; i < upstreams.size(); i++) {
      upstreamLinks.get(i).setMode(LinkProxy.Mode.PASSES);
      listUpstream(i, false);
    }
    for (ProgramProcess process : processes()) {
      process.signal("CONT");
      process.start();
    }
  }

  /** Kills all processes at the same time. */
  void killAll() {
    processes().parallelStream().forEach(ProgramProcess::kill);
  }

  /** Stops all processes; returns a description of each one that had to be killed. */
  List<String> stop() throws IOException {
    List<String> killed = new ArrayList<>();
    for (int i = 0; i < routers.size(); i++) {
      if (!routers.get(i).stop()) {
        killed.add("router " + i + " had to be killed");
      }
    }
    for (int i = 0; i < controls.size(); i++) {
      if (!controls.get(i).stop()) {
        killed.add("control VM " + i + " had to be killed");
      }
    }
    return killed;
  }

  /** Returns each end of a process that the soak did not cause. */
  List<History.OwnEnd> ownEnds() {
    List<History.OwnEnd> ends = new ArrayList<>();
    for (int i = 0; i < routers.size(); i++) {
      ends.addAll(ownEnds(FaultKind.Where.ROUTER, i, routers.get(i)));
    }
    for (int i = 0; i < controls.size(); i++) {
      ends.addAll(ownEnds(FaultKind.Where.CONTROL, i, controls.get(i)));
    }
    return ends;
  }

  private static List<History.OwnEnd> ownEnds(
      FaultKind.Where where, int number, ProgramProcess process) {
    return process.unexpectedExits().stream()
        .map(
            exit ->
                new History.OwnEnd(where, number, exit.code(), exit.atNanos(), exit.lastLines()))
        .toList();
  }

  private List<ProgramProcess> processes() {
    List<ProgramProcess> all = new ArrayList<>(controls);
    all.addAll(routers);
    return all;
  }

  @Override
  public void close() {
    processes().forEach(ProgramProcess::close);
    List<AutoCloseable> resources = new ArrayList<>(routerLinks);
    resources.addAll(upstreamLinks);
    resources.addAll(internalLinks);
    resources.addAll(formerLinks);
    resources.addAll(operatorLinks);
    resources.addAll(upstreams);
    resources.add(platformLink);
    resources.add(platform);
    for (AutoCloseable resource : resources) {
      try {
        resource.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      } catch (Exception e) {
        log.warn("a link or fake server could not be closed: {}", e.getMessage());
      }
    }
  }
}
