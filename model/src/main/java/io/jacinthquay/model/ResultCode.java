package io.jacinthquay.model;

import java.util.Arrays;
import java.util.Optional;

/**
 * The numbered result codes of the system.
 *
 * <p>The table in {@code docs/RESULT-CODES.md} lists the same codes; a test checks that both agree.
 */
public enum ResultCode {
  /** The request is malformed. */
  BAD_REQUEST(1000, 400, Outcome.NOT_RUN, "The request is malformed.", "Correct the request."),
  /** The body is not the JSON that the route requires. */
  MALFORMED_JSON(
      1001,
      400,
      Outcome.NOT_RUN,
      "The body is not the JSON that the route expects.",
      "Correct the body."),
  /** The request head exceeds the limit. */
  HEAD_TOO_LARGE(
      1002,
      431,
      Outcome.NOT_RUN,
      "The request head exceeds the limit.",
      "Send fewer or shorter headers."),
  /** The request body exceeds the limit. */
  BODY_TOO_LARGE(
      1003, 413, Outcome.NOT_RUN, "The request body exceeds the limit.", "Send a smaller body."),
  /** No such model is configured. */
  MODEL_UNKNOWN(
      1004, 404, Outcome.NOT_RUN, "No such model is configured.", "Ask /v1/models for the names."),
  /** No route matches the path. */
  ROUTE_UNKNOWN(1005, 404, Outcome.NOT_RUN, "No route matches the path.", "Correct the path."),
  /** The route does not allow this method. */
  METHOD_NOT_ALLOWED(
      1006,
      405,
      Outcome.NOT_RUN,
      "The route does not take this method.",
      "Use a method that the route takes."),
  /** The caller did not send the whole request before the timeout. */
  SENDER_TOO_SLOW(
      1007, 408, Outcome.NOT_RUN, "The request did not arrive in time.", "Send the request again."),
  /** The router has reached its connection limit. */
  TOO_MANY_CONNECTIONS(
      1008,
      503,
      Outcome.NOT_RUN,
      "The router holds as many connections as it may.",
      "Retry after a pause."),
  /** The customer may not use this class. */
  CLASS_NOT_ALLOWED(
      1009,
      403,
      Outcome.NOT_RUN,
      "The customer may not use this class.",
      "Use a class of the customer."),
  /** The caller's key occurs in the part of the request that would be forwarded. */
  KEY_IN_REQUEST(
      1010,
      400,
      Outcome.NOT_RUN,
      "The presented key occurs in what would be forwarded.",
      "Remove the key from target, headers and body."),
  /** The route requires a key and the request has none. */
  KEY_MISSING(
      1100,
      401,
      Outcome.NOT_RUN,
      "The route needs a key and none was presented.",
      "Present a key."),
  /** No customer holds this key. */
  KEY_UNKNOWN(1101, 401, Outcome.NOT_RUN, "No customer holds this key.", "Use a valid key."),
  /** The key was withdrawn. */
  KEY_WITHDRAWN(1102, 401, Outcome.NOT_RUN, "The key was withdrawn.", "Use a new key."),
  /** The key was withdrawn while the response was being sent. */
  KEY_WITHDRAWN_DURING_RUN(
      1103,
      401,
      Outcome.RAN,
      "The key was withdrawn while the answer was sent.",
      "Use a new key; part of the answer was delivered."),
  /** The router is isolated and its key table has expired. */
  KEYS_NOT_CURRENT(
      1104,
      503,
      Outcome.NOT_RUN,
      "The router is cut off and its key table has expired.",
      "Retry through another router."),
  /** The router was isolated and its key table expired while the response was being sent. */
  KEYS_NOT_CURRENT_DURING_RUN(
      1105,
      503,
      Outcome.RAN,
      "The router was cut off and its key table expired while the answer was sent.",
      "Retry through another router; part of the answer was delivered."),
  /** The request was shed, because requests of an equal or higher tier need the capacity. */
  SHED_OVERLOAD(
      1200,
      429,
      Outcome.NOT_RUN,
      "Capacity went to work of equal or higher tier.",
      "Retry after the time in Retry-After."),
  /** The latency target of the class can no longer be met. */
  DEADLINE_UNREACHABLE(
      1201,
      503,
      Outcome.NOT_RUN,
      "The target of the class can no longer be met.",
      "Retry later or use a class with a longer target."),
  /** The customer has reached its limit of concurrent requests. */
  CUSTOMER_LIMIT(
      1202,
      429,
      Outcome.NOT_RUN,
      "The customer has as many requests as it may.",
      "Wait for earlier requests to end."),
  /** The queue of waiting requests in the router is full. */
  QUEUE_FULL(
      1203,
      503,
      Outcome.NOT_RUN,
      "The router holds as many waiting requests as it may.",
      "Retry after a pause."),
  /** No upstream of the pool can accept requests. */
  NO_UPSTREAM(
      1204, 503, Outcome.NOT_RUN, "No upstream of the pool can take work.", "Retry after a pause."),
  /** The request was preempted by requests of a higher tier and cannot be resumed. */
  PREEMPTED(
      1205,
      503,
      Outcome.UNKNOWN,
      "Work of a higher tier took the capacity and the request cannot resume.",
      "Retry if the request is idempotent."),
  /** The router is shutting down. */
  SHUTTING_DOWN(
      1206,
      503,
      Outcome.NOT_RUN,
      "The router is shutting down.",
      "Retry; the balancer picks another router."),
  /** Upstreams crashed as answers on a part of the prompt began. */
  PROMPT_QUARANTINED(
      1207,
      503,
      Outcome.NOT_RUN,
      "Upstreams crashed as answers on a part of the prompt began.",
      "Change the prompt, or retry after the time in Retry-After."),
  /** No upstream of the version that began the stream is left. */
  STREAM_VERSION_GONE(
      1208,
      503,
      Outcome.NOT_RUN,
      "No upstream of the version that began the stream is left.",
      "Start the stream anew."),
  /** Several versions may have begun the stream, and a stream may go on only at its own. */
  STREAM_ORIGIN_UNKNOWN(
      1209,
      503,
      Outcome.NOT_RUN,
      "It isn't known which version began the stream.",
      "Retry after the time in Retry-After, or start the stream anew."),
  /** The upstream rejected the request before executing it. */
  UPSTREAM_REFUSED(
      1300,
      503,
      Outcome.NOT_RUN,
      "The upstream refused the request before running it.",
      "Retry after a pause."),
  /** No connection to an upstream could be opened. */
  UPSTREAM_UNREACHABLE(
      1301,
      502,
      Outcome.NOT_RUN,
      "No connection to an upstream could be opened.",
      "Retry after a pause."),
  /** The connection to the upstream ended before the response was complete. */
  UPSTREAM_BROKE(
      1302,
      502,
      Outcome.UNKNOWN,
      "The upstream ended before the whole answer came.",
      "Retry only if the request is idempotent."),
  /** The upstream did not respond before the timeout. */
  UPSTREAM_TIMEOUT(
      1303,
      504,
      Outcome.UNKNOWN,
      "The upstream did not answer in time.",
      "Retry only if the request is idempotent."),
  /** The response belonged to another request and was discarded. */
  ANSWER_MISMATCH(
      1304,
      502,
      Outcome.UNKNOWN,
      "The answer belonged to another request and was dropped.",
      "Retry only if the request is idempotent."),
  /** The response stream ended before its last event. */
  STREAM_TRUNCATED(
      1305,
      502,
      Outcome.RAN,
      "The stream ended before its last event.",
      "Retry if the rest is needed; what came is part of the answer."),
  /** The attempt failed and the retry budget is exhausted. */
  RETRY_BUDGET_SPENT(
      1306,
      503,
      Outcome.UNKNOWN,
      "The attempt failed and the retry budget is spent.",
      "Retry after a pause if the request is idempotent."),
  /** The router had no memory left for the response and discarded it. */
  ANSWER_DROPPED(
      1307,
      502,
      Outcome.UNKNOWN,
      "The router had no memory left for the answer and dropped it.",
      "Retry only if the request is idempotent."),
  /** No quorum could record the idempotency key. */
  CLAIM_UNAVAILABLE(
      1400,
      503,
      Outcome.NOT_RUN,
      "No quorum could record the idempotency key.",
      "Retry with the same idempotency key."),
  /** The idempotency key was used with another body. */
  CLAIM_BODY_DIFFERS(
      1401,
      422,
      Outcome.NOT_RUN,
      "The idempotency key was used with another body.",
      "Use a new idempotency key."),
  /** An earlier request with this idempotency key has no recorded result. */
  CLAIM_OUTCOME_UNKNOWN(
      1402,
      409,
      Outcome.UNKNOWN,
      "An earlier request with this idempotency key has no recorded result.",
      "Check the effect before using a new key."),
  /** An earlier request with this idempotency key is still in progress. */
  CLAIM_IN_PROGRESS(
      1403,
      409,
      Outcome.UNKNOWN,
      "An earlier request with this idempotency key still runs.",
      "Retry later with the same idempotency key."),
  /** The router failed with an unexpected internal error. */
  INTERNAL(
      1500,
      500,
      Outcome.UNKNOWN,
      "The router failed in an unexpected way.",
      "Report the request id to the operators."),
  /** The router has no configuration yet. */
  NOT_READY(
      1501,
      503,
      Outcome.NOT_RUN,
      "The router has no configuration yet.",
      "Retry through another router."),
  /** The configuration document has errors. */
  CONFIG_INVALID(
      2000,
      400,
      Outcome.NOT_RUN,
      "The configuration document has errors.",
      "Correct every error listed."),
  /** The expected version is not the current one. */
  CONFIG_VERSION_CONFLICT(
      2001,
      409,
      Outcome.NOT_RUN,
      "The expected version is not the current one.",
      "Read the current version and apply again."),
  /** The change id belongs to another change. */
  CHANGE_ID_REUSED(
      2002,
      409,
      Outcome.NOT_RUN,
      "The change id belongs to another change.",
      "Use a new change id."),
  /** This keeper is not the leader. */
  NOT_LEADER(
      2003,
      421,
      Outcome.NOT_RUN,
      "This keeper does not lead.",
      "Ask the keeper named in the detail."),
  /** No quorum of keepers committed the change before the timeout. */
  NO_QUORUM(
      2004,
      503,
      Outcome.UNKNOWN,
      "The keepers could not commit in time.",
      "Send the same change with the same id again."),
  /** The credential does not permit this call. */
  NOT_AUTHORISED(
      2005,
      403,
      Outcome.NOT_RUN,
      "The credential does not allow this call.",
      "Use a credential of the right role."),
  /** No such entity exists. */
  ENTITY_UNKNOWN(2006, 404, Outcome.NOT_RUN, "No such entity exists.", "Check the name."),
  /** Another process holds the lease. */
  LEASE_HELD(
      2007, 409, Outcome.NOT_RUN, "Another process holds the lease.", "Try again after it lapses."),
  /** The lease is no longer held with this fencing token. */
  LEASE_LOST(
      2008,
      409,
      Outcome.NOT_RUN,
      "The lease is no longer held under this fencing number.",
      "Acquire the lease again."),
  /** A different order is recorded with this id. */
  ORDER_CONFLICT(
      2009,
      409,
      Outcome.NOT_RUN,
      "Another order is recorded under this id.",
      "Resend the recorded order."),
  /** The usage window is sealed and accepts no more usage. */
  WINDOW_SEALED(
      2010,
      409,
      Outcome.NOT_RUN,
      "The usage window is sealed.",
      "Count into the next open window."),
  /** The requested changes have been removed by log compaction. */
  CURSOR_TOO_OLD(
      2011,
      410,
      Outcome.NOT_RUN,
      "The changes asked for were compacted away.",
      "Fetch a snapshot."),
  /** The key digest is already known. */
  KEY_EXISTS(2012, 409, Outcome.NOT_RUN, "The key digest is already known.", "Issue another key."),
  /** The settings of the program are invalid. */
  SETTINGS_INVALID(
      2013,
      400,
      Outcome.NOT_RUN,
      "The settings of the program have errors.",
      "Correct every error listed."),
  /** A checksum of stored data does not match. */
  STORAGE_CORRUPT(
      3000,
      500,
      Outcome.NOT_RUN,
      "A checksum of stored data does not match.",
      "Replace this keeper as docs/operations/keeper-storage.md tells."),
  /** Writing or syncing a file failed. */
  STORAGE_FAILED(
      3001,
      500,
      Outcome.UNKNOWN,
      "Writing or syncing a file failed.",
      "Check the disk; the keeper has stepped down."),
  /** Another process has locked the data folder. */
  STORAGE_LOCKED(
      3002,
      500,
      Outcome.NOT_RUN,
      "Another process holds the data folder.",
      "Stop the other process."),
  /** The replicated log has reached its limit of commands in progress. */
  LOG_OVERLOADED(
      3003,
      503,
      Outcome.NOT_RUN,
      "The replicated log has as many commands under way as it may.",
      "Retry after a pause."),
  /** The membership change is not possible now. */
  MEMBERSHIP_REFUSED(
      3004,
      409,
      Outcome.NOT_RUN,
      "The membership change is not possible now.",
      "Read the detail, then try again."),
  /** The command exceeds the size limit of the replicated log. */
  COMMAND_TOO_LARGE(
      3005,
      413,
      Outcome.NOT_RUN,
      "The command exceeds the limit of the replicated log.",
      "Split the change."),
  /** The data folder belongs to another member. */
  STORAGE_FOREIGN(
      3006,
      500,
      Outcome.NOT_RUN,
      "The data folder belongs to another member.",
      "Correct the settings of this keeper.");

  private final int number;
  private final int httpStatus;
  private final Outcome outcome;
  private final String meaning;
  private final String advice;

  ResultCode(int number, int httpStatus, Outcome outcome, String meaning, String advice) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.outcome = outcome;
    this.meaning = meaning;
    this.advice = advice;
  }

  /** Returns the number, 1000 to 3999. */
  public int number() {
    return number;
  }

  /** Returns the HTTP status code of the response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether an upstream has executed the request. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns one sentence that describes the failure. */
  public String meaning() {
    return meaning;
  }

  /** Returns one sentence that tells the caller what to do. */
  public String advice() {
    return advice;
  }

  /** Returns the code with a number, or empty if there is none. */
  public static Optional<ResultCode> of(int number) {
    return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
  }
}
