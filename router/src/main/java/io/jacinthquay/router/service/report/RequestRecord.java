package io.jacinthquay.router.service.report;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;
import java.util.Optional;

/**
 * Result of one request, for the log, metrics and billing.
 *
 * @param id id of the request
 * @param method HTTP method
 * @param path the path, without its query
 * @param customer the customer to bill; absent if the request was refused before it was known
 * @param className its class; absent if the request was refused before it was known
 * @param target the model or route; empty if unknown
 * @param upstream the last upstream that it was sent to; absent if it was never sent
 * @param attempts number of sends
 * @param code the failure; absent if the request succeeded
 * @param outcome whether an upstream ran it
 * @param arrivedNanos time of its arrival, on the monotonic clock
 * @param firstByteNanos time to the first byte of the answer in nanoseconds; negative if there was
 *     none
 * @param firstTokenTimed whether the first byte came with the first token, as in a streamed answer
 * @param wholeNanos time to the end of the answer in nanoseconds
 * @param inputTokens prompt tokens
 * @param outputTokens output tokens sent to the caller
 */
public record RequestRecord(
    RequestId id,
    String method,
    String path,
    Optional<CustomerId> customer,
    Optional<ClassName> className,
    String target,
    Optional<UpstreamId> upstream,
    int attempts,
    Optional<ResultCode> code,
    Outcome outcome,
    long arrivedNanos,
    long firstByteNanos,
    boolean firstTokenTimed,
    long wholeNanos,
    long inputTokens,
    long outputTokens) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public RequestRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(className, "className");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(outcome, "outcome");
  }
}
