package io.jacinthquay.soak;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;

/** The processes of a run, whose routers tell by their metrics which document they follow. */
final class RunningPrograms implements DocumentConvergence.Programs {
  private final SoakSystem system;

  RunningPrograms(SoakSystem system) {
    this.system = system;
  }

  @Override
  public List<Long> versionsInForce() {
    return IntStream.range(0, system.callerAddresses().size())
        .mapToObj(router -> system.versionInForce(router).orElse(-1))
        .toList();
  }

  @Override
  public void killAndStart() throws IOException {
    system.killAll();
    system.start();
  }
}
