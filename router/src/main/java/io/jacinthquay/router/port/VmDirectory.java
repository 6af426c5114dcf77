package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.vavr.control.Either;
import java.util.List;

/** The platform's list of VMs, which lags: it names candidates and never proves one alive. */
public interface VmDirectory {
  /** Returns the list, or a failure if the platform did not answer. */
  Either<Failure, List<VmEntry>> list();
}
