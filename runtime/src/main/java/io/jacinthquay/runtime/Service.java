package io.jacinthquay.runtime;

/**
 * A component with a life cycle, which owns threads or connections.
 *
 * <p>A service is started once and stopped once. {@link #stop()} returns after all resources of the
 * service have been released.
 */
public interface Service {
  /**
   * Starts the service and returns when it is ready.
   *
   * @throws IllegalStateException if the service cannot start
   */
  void start();

  /** Stops the service; does nothing if it has not been started. */
  void stop();
}
