package io.jacinthquay.control;

import io.jacinthquay.model.DomainId;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * What a control VM is built from.
 *
 * @param name name of this VM
 * @param domain its failure domain
 * @param listen where other control VMs and routers call; its text is this member's name
 * @param bind where this VM opens its port; calls to {@code listen} must arrive there
 * @param seeds where the first members listen
 * @param folder the data folder
 * @param dutyHold time between two acts of different VMs for the platform
 * @param usageWindow length of a usage window
 * @param toleratedLosses disks that may be lost at one time, 1 or more
 */
public record ControlOptions(
    String name,
    DomainId domain,
    InetSocketAddress listen,
    InetSocketAddress bind,
    List<InetSocketAddress> seeds,
    Path folder,
    Duration dutyHold,
    Duration usageWindow,
    int toleratedLosses) {
  /** Copies the list. */
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

  /** Returns how many replicas vote, so that a majority of them is never lost at one time. */
  int voters() {
    return 2 * toleratedLosses + 1;
  }
}
