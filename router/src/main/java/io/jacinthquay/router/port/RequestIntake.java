package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.vavr.control.Either;

/** Takes callers' requests: first the head, then, if it is admitted, the body. */
public interface RequestIntake {
  /** Returns a new id for a request. */
  RequestId nextId();

  /** Checks the head; the body is read only if it is admitted. */
  Either<Failure, AdmittedHead> admit(RequestId id, CallerHead head);

  /** Refuses a request whose head was admitted, or that never got so far. */
  void refuse(RequestId id, CallerHead head, Failure failure, Caller caller);

  /** A request whose head was admitted. */
  @FunctionalInterface
  interface AdmittedHead {
    /** Runs the request; the caller gets exactly one answer. */
    void run(byte[] body, Caller caller);
  }
}
