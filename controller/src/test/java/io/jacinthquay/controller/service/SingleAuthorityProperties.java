package io.jacinthquay.controller.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.Order;
import io.jacinthquay.controller.port.Ticker;
import io.jacinthquay.controller.service.VirtualCluster.Fault;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.LeaseName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * With two or three controllers on a lossy network, only the holder of a lease acts on the
 * platform, and each count is billed once.
 */
class SingleAuthorityProperties {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final LeaseOptions LEASE_OPTIONS = new LeaseOptions(Duration.ofSeconds(10), 0.01);
  private static final int STEPS = 300;

  /** One controller process; after a crash a new one with another owner name replaces it. */
  private static final class ControllerProcess {
    final UsageReportJob reportJob;
    final LeaseHolder capacityLease;
    final OrderSender sender;
    final String owner;
    int sentOrders;

    ControllerProcess(VirtualCluster cluster, String owner, double rateError) {
      this.owner = owner;
      Ticker ticker = cluster.ticker(rateError);
      LeaseHolder usageLease =
          new LeaseHolder(new LeaseName("usage/0"), owner, cluster, ticker, LEASE_OPTIONS);
      UsageReporter.ReportTimes times =
          new UsageReporter.ReportTimes(Duration.ofSeconds(1), Duration.ofSeconds(2), TIMEOUT);
      UsageReporter reporter = new UsageReporter(0, usageLease, cluster, cluster, ticker, times);
      reportJob = new UsageReportJob(cluster, List.of(reporter));
      capacityLease =
          new LeaseHolder(new LeaseName("capacity/a"), owner, cluster, ticker, LEASE_OPTIONS);
      sender = new OrderSender(new DomainId("a"), capacityLease, cluster, cluster, TIMEOUT);
    }

    void step() {
      reportJob.runOnce();
      capacityLease.acquireOrRenew();
      capacityLease.lease().ifPresent(this::sendOrder);
    }

    private void sendOrder(Lease lease) {
      if (sender.resendPending(lease)) {
        String id = owner + "-" + sentOrders++;
        Order order =
            new Order(id, lease.name(), lease.fencing(), new DomainId("a"), "{\"n\":" + id + "}");
        sender.send(order, lease);
      }
    }

    void settle() {
      reportJob.runOnce();
      capacityLease.acquireOrRenew();
      capacityLease.lease().ifPresent(sender::resendPending);
    }
  }

  private static VirtualCluster run(long seed, int controllers, Fault fault) {
    Random random = new Random(seed);
    VirtualCluster cluster = new VirtualCluster(random, fault);
    List<ControllerProcess> processes = new ArrayList<>();
    for (int i = 0; i < controllers; i++) {
      processes.add(start(cluster, random, "p" + i));
    }
    for (int step = 0; step < STEPS; step++) {
      cluster.advance(Duration.ofMillis(random.nextInt(random.nextInt(20) == 0 ? 15_000 : 1_000)));
      cluster.setPartitioned(random.nextInt(10) == 0);
      long window = cluster.ticker(0).wallMillis() / 1_000 * 1_000;
      cluster.addUsage(Math.max(0, window - 1_000L * random.nextInt(12)), 1 + random.nextInt(50));
      int chosen = random.nextInt(controllers);
      if (random.nextInt(40) == 0) {
        processes.set(chosen, start(cluster, random, "p" + chosen + "-" + step));
      }
      processes.get(chosen).step();
    }
    settle(cluster, processes.get(0));
    return cluster;
  }

  private static ControllerProcess start(VirtualCluster cluster, Random random, String owner) {
    double rateError = (random.nextDouble() - 0.5) * LEASE_OPTIONS.maxDriftRatio();
    return new ControllerProcess(cluster, owner, rateError);
  }

  private static void settle(VirtualCluster cluster, ControllerProcess survivor) {
    cluster.setPartitioned(false);
    for (int step = 0; step < STEPS; step++) {
      cluster.advance(Duration.ofSeconds(1));
      survivor.settle();
    }
  }

  @Property(seed = "20261204", tries = 400)
  void onlyTheLeaseHolderActsAndEveryCountIsBilledOnce(
      @ForAll long seed, @ForAll @IntRange(min = 2, max = 3) int controllers) {
    VirtualCluster cluster = run(seed, controllers, Fault.NONE);
    assertEquals(List.of(), cluster.ledger.violations());
    assertEquals(cluster.totalCounted(), cluster.totalReported());
    assertFalse(cluster.hasPendingOrders());
    assertTrue(cluster.ledger.orders().size() > 10);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void ledgerDetectsPlantedFaults(Fault fault) {
    boolean found = false;
    for (long seed = 0; seed < 50 && !found; seed++) {
      found = !run(seed, 3, fault).ledger.violations().isEmpty();
    }
    assertTrue(found, fault.name());
  }
}
