package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.EventThread;

/** One request as the dispatcher sees it; all callbacks come on {@link #thread()}. */
public interface Job {
  /** Returns the thread of the request. */
  EventThread thread();

  /** The request may be sent now; {@link Dispatcher#finished} must follow exactly once. */
  void granted(Grant grant);

  /**
   * The request gets no upstream.
   *
   * @param retryAfterMillis when the caller may try again, in milliseconds; 0 if unknown
   */
  void refused(Failure failure, long retryAfterMillis);

  /** The work must stop now; {@link Dispatcher#preempted} must follow unless it just ended. */
  void preempt();
}
