package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.vavr.control.Either;

/** Handles callers' requests: first the head, then, if the head is admitted, the body. */
public interface RequestIntake {
  /** Returns an id for a new request. */
  RequestId nextId();

  /** Checks the head of a request; the body is read only if the head is admitted. */
  Either<Failure, AdmittedHead> admit(RequestId id, RequestHead head);

  /** Rejects a request, before or after its head was admitted. */
  void refuse(RequestId id, RequestHead head, Failure failure, Caller caller);

  /** A request whose head was admitted. */
  @FunctionalInterface
  interface AdmittedHead {
    /** Returns the size of the largest body, in bytes; the limit of the server also holds. */
    default int maxBodyBytes() {
      return Integer.MAX_VALUE;
    }

    /** Runs the request; the caller gets exactly one response. */
    void run(byte[] body, Caller caller);
  }
}
