package io.jacinthquay.standalone;

import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.ServiceGroup;
import io.jacinthquay.testkit.engine.EngineOptions;
import io.jacinthquay.testkit.engine.FakeEngine;
import io.jacinthquay.testkit.plain.FakePlainService;
import io.jacinthquay.testkit.platform.FakePlatform;
import io.jacinthquay.testkit.platform.FakeVm;
import io.jacinthquay.testkit.platform.LedgerPages;
import io.jacinthquay.testkit.platform.PlatformLedger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Runs the fakes: three engines, a plain service and the platform that lists them. */
final class EmbeddedPlatform implements Service {
  static final String DOMAIN = "fes-a";
  private static final int ENGINES = 3;
  private static final int ENGINE_SLOTS = 8;
  private static final Duration TIME_PER_TOKEN = Duration.ofMillis(15);

  private final List<FakeEngine> engines = new ArrayList<>();
  private final FakePlainService plainService = new FakePlainService();
  private final FakePlatform platform = new FakePlatform(0);
  private final PlatformLedger ledger = new PlatformLedger(true);
  private final ServiceGroup services;

  EmbeddedPlatform() {
    List<Service> allServices = new ArrayList<>();
    for (int i = 1; i <= ENGINES; i++) {
      EngineOptions options =
          EngineOptions.quick("engine-" + i)
              .withStep(TIME_PER_TOKEN)
              .withLimits(ENGINE_SLOTS, ENGINE_SLOTS, 0);
      engines.add(new FakeEngine(options));
    }
    allServices.addAll(engines);
    allServices.add(plainService);
    allServices.add(platform);
    services = new ServiceGroup(allServices);
    LedgerPages.install(platform, ledger, LedgerPages.OrderEffect.NONE);
  }

  @Override
  public void start() {
    services.start();
    List<FakeVm> vms = new ArrayList<>();
    for (int i = 1; i <= ENGINES; i++) {
      InetSocketAddress address = engines.get(i - 1).address();
      vms.add(FakeVm.engine("engine-" + i, DOMAIN, "engines", address).withFloor(ENGINE_SLOTS));
    }
    vms.add(
        FakeVm.plain("desk-1", DOMAIN, "repair-desk", plainService.address())
            .withFloor(ENGINE_SLOTS));
    platform.vms(vms);
  }

  InetSocketAddress address() {
    return platform.address();
  }

  PlatformLedger ledger() {
    return ledger;
  }

  @Override
  public void stop() {
    services.stop();
  }
}
