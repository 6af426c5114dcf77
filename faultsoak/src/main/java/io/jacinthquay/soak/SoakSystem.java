package io.jacinthquay.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** All processes, stand-ins and links of one run. */
final class SoakSystem implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();

  private final Path folder;
  private final StandInPlatform platform;
  private final LinkProxy platformLink;
  private final Deployment deployment;
  private final List<StandInUpstream> upstreams = new ArrayList<>();
  private final List<LinkProxy> upstreamLinks = new ArrayList<>();
  private final List<ProgramProcess> controls = new ArrayList<>();
  private final List<LinkProxy> innerLinks = new ArrayList<>();
  private final List<LinkProxy> operatorLinks = new ArrayList<>();
  private final List<ProgramProcess> routers = new ArrayList<>();
  private final List<LinkProxy> routerLinks = new ArrayList<>();

  /**
   * Makes everything ready; no process runs yet.
   *
   * @param root folder that holds the deploy file and what the build made
   * @param folder takes the processes' output and data
   */
  SoakSystem(Path root, Path folder, SoakPlan plan, History history) throws IOException {
    this.folder = folder;
    platform = new StandInPlatform(history);
    platformLink = new LinkProxy(platform::address);
    deployment = new Deployment(root, plan, platformLink.address());
    for (int i = 0; i < plan.upstreams(); i++) {
      StandInUpstream upstream = new StandInUpstream(i, plan.seed() + i, history);
      upstreams.add(upstream);
      upstreamLinks.add(new LinkProxy(upstream::address));
      list(i, false);
    }
    for (int i = 0; i < plan.controls(); i++) {
      int number = i;
      controls.add(process("control-" + i, () -> deployment.controlCommand(number, data(number))));
      innerLinks.add(
          new LinkProxy(deployment.innerOf(i), () -> deployment.behindInnerOf(number), port -> {}));
      operatorLinks.add(new LinkProxy(() -> deployment.control(number)));
    }
    for (int i = 0; i < plan.routers(); i++) {
      int number = i;
      routers.add(process("router-" + i, () -> deployment.routerCommand(number)));
      routerLinks.add(
          new LinkProxy(
              () -> deployment.router(number),
              port -> history.add(new History.Departure(number, port, System.nanoTime()))));
    }
  }

  private ProgramProcess process(String name, Supplier<List<String>> command) {
    return new ProgramProcess(deployment.root(), folder.resolve(name + ".log"), command);
  }

  private Path data(int control) {
    return folder.resolve("data-" + control);
  }

  void start() throws IOException {
    for (ProgramProcess process : processes()) {
      process.start();
    }
  }

  /** Lists an upstream under its present id. */
  void list(int number, boolean draining) {
    platform.list(
        number, upstreams.get(number).id(), upstreamLinks.get(number).address(), draining);
  }

  void unlist(int number) {
    platform.remove(number);
  }

  StandInUpstream upstream(int number) {
    return upstreams.get(number);
  }

  LinkProxy upstreamLink(int number) {
    return upstreamLinks.get(number);
  }

  LinkProxy routerLink(int number) {
    return routerLinks.get(number);
  }

  /** Returns the link by which routers and other control VMs reach a control VM. */
  LinkProxy innerLink(int control) {
    return innerLinks.get(control);
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

  /** Removes what a control VM that doesn't run has stored. */
  void wipe(int control) throws IOException {
    remove(data(control));
  }

  /** Removes a folder with all that it holds, if it exists. */
  static void remove(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  /** Returns where callers reach the routers. */
  List<InetSocketAddress> callerAddresses() {
    return routerLinks.stream().map(LinkProxy::address).toList();
  }

  List<InetSocketAddress> operatorAddresses() {
    return operatorLinks.stream().map(LinkProxy::address).toList();
  }

  /** Ends every fault: all processes run and all links pass. */
  void heal() throws IOException {
    platformLink.mode(LinkProxy.Mode.PASSES);
    routerLinks.forEach(link -> link.mode(LinkProxy.Mode.PASSES));
    innerLinks.forEach(link -> link.mode(LinkProxy.Mode.PASSES));
    operatorLinks.forEach(link -> link.mode(LinkProxy.Mode.PASSES));
    for (int i = 0; i < upstreams.size(); i++) {
      upstreamLinks.get(i).mode(LinkProxy.Mode.PASSES);
      list(i, false);
    }
    for (ProgramProcess process : processes()) {
      process.signal("CONT");
      process.start();
    }
  }

  /** Stops all processes as planned; returns those that had to be killed. */
  List<String> stop() throws IOException {
    List<String> late = new ArrayList<>();
    for (int i = 0; i < routers.size(); i++) {
      if (!routers.get(i).stop()) {
        late.add("router " + i + " had to be killed");
      }
    }
    for (int i = 0; i < controls.size(); i++) {
      if (!controls.get(i).stop()) {
        late.add("control VM " + i + " had to be killed");
      }
    }
    return late;
  }

  /** Returns the ends of processes that nobody asked for. */
  List<String> ownEnds() {
    List<String> ends = new ArrayList<>();
    for (int i = 0; i < routers.size(); i++) {
      ends.addAll(ends("router " + i, routers.get(i)));
    }
    for (int i = 0; i < controls.size(); i++) {
      ends.addAll(ends("control VM " + i, controls.get(i)));
    }
    return ends;
  }

  private static List<String> ends(String name, ProgramProcess process) {
    return process.ownEnds().stream().map(code -> name + " ended with code " + code).toList();
  }

  private List<ProgramProcess> processes() {
    List<ProgramProcess> all = new ArrayList<>(controls);
    all.addAll(routers);
    return all;
  }

  @Override
  public void close() {
    processes().forEach(ProgramProcess::close);
    List<AutoCloseable> links = new ArrayList<>(routerLinks);
    links.addAll(upstreamLinks);
    links.addAll(innerLinks);
    links.addAll(operatorLinks);
    links.addAll(upstreams);
    links.add(platformLink);
    links.add(platform);
    for (AutoCloseable link : links) {
      try {
        link.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      } catch (Exception e) {
        log.warn("a link did not close: {}", e.getMessage());
      }
    }
  }
}
