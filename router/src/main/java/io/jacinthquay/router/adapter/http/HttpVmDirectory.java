package io.jacinthquay.router.adapter.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.port.VmDirectory;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.runtime.json.JsonEntries;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Reads the platform's list of VMs over HTTP. */
public final class HttpVmDirectory implements VmDirectory {
  private static final Logger log = LogManager.getLogger();

  /** Most entries of a list, each of which is kept. */
  private static final int MAX_ENTRIES = 10_000;

  private final JsonHttp http;
  private final InetSocketAddress platform;

  /**
   * Returns a directory.
   *
   * @param http client for the requests
   * @param platform the address of the platform
   */
  public HttpVmDirectory(JsonHttp http, InetSocketAddress platform) {
    this.http = http;
    this.platform = platform;
  }

  @Override
  public Either<Failure, List<VmEntry>> list() {
    try {
      JsonEntries list = JsonEntries.of(http.get(platform, "/vms"), "vms", MAX_ENTRIES);
      List<VmEntry> entries = new ArrayList<>();
      for (Optional<JsonNode> vm = list.next(); vm.isPresent(); vm = list.next()) {
        entry(vm.get()).ifPresent(entries::add);
      }
      return Either.right(entries);
    } catch (IOException e) {
      String detail = "the VM list could not be read: " + e.getMessage();
      return Either.left(Failure.of(ResultCode.UPSTREAM_UNREACHABLE, detail));
    }
  }

  /** Returns the entry, or nothing if it is malformed, so that the other entries stay usable. */
  private static Optional<VmEntry> entry(JsonNode vm) {
    try {
      List<ModelName> models = new ArrayList<>();
      vm.path("models").forEach(name -> models.add(new ModelName(name.asText())));
      Optional<PoolName> pool =
          vm.hasNonNull("pool") && !vm.get("pool").asText().isEmpty()
              ? Optional.of(new PoolName(vm.get("pool").asText()))
              : Optional.empty();
      return Optional.of(
          new VmEntry(
              new UpstreamId(vm.path("name").asText()),
              new DomainId(vm.path("domain").asText()),
              address(vm.path("address").asText()),
              VmEntry.Kind.valueOf(vm.path("kind").asText().toUpperCase(Locale.ROOT)),
              pool,
              vm.path("state").asText().equals("leaving"),
              vm.path("market").asText().equals("cheap"),
              models,
              Math.max(1, vm.path("floor").asInt(1))));
    } catch (IllegalArgumentException e) {
      log.warn("an entry of the VM list is malformed: {}", e.getMessage());
      return Optional.empty();
    }
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("address is not host:port: " + text);
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    return new InetSocketAddress(text.substring(0, colon), port);
  }
}
