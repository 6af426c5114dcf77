package io.jacinthquay.router.port;

/** Why a caller's connection ended before the response to its request was complete. */
public enum DisconnectReason {
  /** The caller ended or reset its connection. */
  CALLER_LEFT("caller left"),
  /** The response could not be written. */
  WRITE_FAILED("write failed"),
  /** There was no memory for the part of the response that the caller had not received yet. */
  NO_MEMORY("no memory"),
  /** The caller took too long to receive the rest of a response that had ended. */
  SLOW_CALLER("slow caller"),
  /** The response broke off after its head had been sent. */
  ANSWER_BROKE("answer broke"),
  /** The router closed the connection for another reason, such as its own stop. */
  CLOSED_BY_ROUTER("closed by the router");

  private final String text;

  DisconnectReason(String text) {
    this.text = text;
  }

  /** Returns the reason as it appears in log lines and metrics. */
  public String text() {
    return text;
  }
}
