package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.EventThread;

/** Receives the dispatcher's decisions on one request; all callbacks run on {@link #thread()}. */
public interface DispatchListener {
  /** Returns the thread of the request. */
  EventThread thread();

  /**
   * Called when the request may be sent; {@link Dispatcher#recordEnd} must then be called exactly
   * once.
   */
  void granted(Grant grant);

  /**
   * Called when the request is refused.
   *
   * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0 if unknown
   */
  void refused(Failure failure, long retryAfterMillis);

  /**
   * Called when the request must stop; {@link Dispatcher#recordPreemption} must then be called,
   * unless the attempt has just ended.
   */
  void preempt();
}
