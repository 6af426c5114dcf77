package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** Reads the platform's list of VMs. The list lags; a VM on it is not necessarily alive. */
public interface VmDirectory {
  /** Returns the list, or a failure if the platform did not respond. */
  Either<Failure, List<VmEntry>> list();
}
