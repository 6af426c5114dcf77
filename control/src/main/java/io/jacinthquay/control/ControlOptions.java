package io.jacinthquay.control;

import io.jacinthquay.model.DomainId;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Settings of a control VM.
 *
 * @param name name of this VM
 * @param domain its failure domain
 * @param listen address that other control VMs and routers connect to; its text form is this
 *     member's name
 * @param bind address that this VM binds; connections to {@code listen} must arrive there
 * @param seeds addresses of the first members
 * @param folder the data folder
 * @param dutyHold least time between calls to the platform by two different VMs; a new leader waits
 *     this long before its first call
 * @param usageWindow length of a usage window; empty if usage is not reported
 * @param toleratedLosses number of disks that may be lost at the same time, 1 or more
 * @param learnsRates whether pools of engines are sized by the rates that routers observe
 */
public record ControlOptions(
    String name,
    DomainId domain,
    InetSocketAddress listen,
    InetSocketAddress bind,
    List<InetSocketAddress> seeds,
    Path folder,
    Duration dutyHold,
    Optional<Duration> usageWindow,
    int toleratedLosses,
    boolean learnsRates) {
  /** Checks that no object is null and copies the seeds. */
  public ControlOptions {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(bind, "bind");
    Objects.requireNonNull(folder, "folder");
    Objects.requireNonNull(dutyHold, "dutyHold");
    Objects.requireNonNull(usageWindow, "usageWindow");
    seeds = List.copyOf(seeds);
  }

  /** Returns the number of voters: large enough that the tolerated losses never take a majority. */
  int voters() {
    return 2 * toleratedLosses + 1;
  }
}
