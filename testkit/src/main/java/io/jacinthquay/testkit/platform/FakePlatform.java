package io.jacinthquay.testkit.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jacinthquay.runtime.Service;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * A fake of the platform's HTTP interface, with a list of VMs that tests set.
 *
 * <pre>{@code
 * FakePlatform platform = new FakePlatform(0);
 * platform.start();
 * platform.vms(List.of(FakeVm.engine("engine-1", "a", "engines", engine.address())));
 * }</pre>
 */
public final class FakePlatform implements Service {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final int port;
  private final PathHandler paths = new PathHandler();
  private volatile List<FakeVm> vms = List.of();
  private Undertow server;

  /**
   * Returns a platform.
   *
   * @param port where it listens on the loopback address; 0 takes a free one
   */
  public FakePlatform(int port) {
    this.port = port;
    paths.addExactPath("/vms", this::sendVms);
  }

  /**
   * Adds a page.
   *
   * @param path the exact path
   * @param handler serves the page, on an I/O thread
   */
  public void addPage(String path, HttpHandler handler) {
    paths.addExactPath(path, handler);
  }

  @Override
  public void start() {
    server =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(2)
            .setHandler(paths)
            .build();
    server.start();
  }

  /** Returns where the platform listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  /** Sets the list of VMs. */
  public void vms(List<FakeVm> list) {
    vms = List.copyOf(list);
  }

  /** Returns the list of VMs. */
  public List<FakeVm> vms() {
    return vms;
  }

  private void sendVms(HttpServerExchange exchange) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode list = root.putArray("vms");
    vms.forEach(vm -> add(list, vm));
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(root.toString());
  }

  private static void add(ArrayNode list, FakeVm vm) {
    ObjectNode vmNode = list.addObject();
    vmNode.put("name", vm.name());
    vmNode.put("domain", vm.domain());
    vmNode.put("address", vm.address().getHostString() + ":" + vm.address().getPort());
    vmNode.put("kind", vm.kind());
    vmNode.put("pool", vm.pool());
    vmNode.put("state", vm.leaving() ? "leaving" : "live");
    vmNode.put("market", vm.cheap() ? "cheap" : "regular");
    vmNode.put("floor", vm.floor());
    vmNode.put("checks_fencing", true);
    ArrayNode models = vmNode.putArray("models");
    vm.models().forEach(models::add);
  }

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }
}
