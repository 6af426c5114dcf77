package io.jacinthquay.soak;

import java.io.IOException;
import java.util.OptionalLong;

/** The control VMs of a run as processes. */
final class RunningControls implements DiskRotation.Controls, LeaderRecovery.Controls {
  private final SoakSystem system;
  private final OperatorLoop operator;

  RunningControls(SoakSystem system, OperatorLoop operator) {
    this.system = system;
    this.operator = operator;
  }

  @Override
  public int count() {
    return system.operatorAddresses().size();
  }

  @Override
  public void rejectWrites(int control, boolean rejected) throws IOException {
    system.control(control).rejectWrites(rejected);
  }

  @Override
  public boolean answers(int control) {
    return system.answersMetrics(control);
  }

  @Override
  public boolean leads(int control) {
    return system.leads(control);
  }

  @Override
  public OptionalLong readVersion(int control) {
    return operator.readVersion(control);
  }
}
