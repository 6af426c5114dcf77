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
 * How one request went, for the log, metrics and bills.
 *
 * @param id the request
 * @param method HTTP method
 * @param path the path, without its query
 * @param customer who is charged; absent if the request was refused before that was known
 * @param className its class; absent likewise
 * @param target the model or route; empty if unknown
 * @param upstream the last upstream that it was sent to
 * @param attempts how many times it was sent
 * @param code why it failed; absent if it succeeded
 * @param outcome whether an upstream ran it
 * @param arrivedNanos when it arrived, on the monotonic clock
 * @param firstByteNanos time to the first byte of the answer; negative if there was none
 * @param firstTokenTimed whether the first byte came with the first token, as in a streamed answer
 * @param wholeNanos time to the end
 * @param inputTokens prompt tokens
 * @param outputTokens tokens that the caller was given
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
