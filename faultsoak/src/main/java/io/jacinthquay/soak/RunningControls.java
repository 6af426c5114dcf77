package io.jacinthquay.soak;

import java.io.IOException;
import java.util.OptionalLong;

/** The control VMs of a run as processes. */
final class RunningControls implements DiskRotation.Controls {
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
  public OptionalLong readVersion(int control) {
    return operator.readVersion(control);
  }
}
