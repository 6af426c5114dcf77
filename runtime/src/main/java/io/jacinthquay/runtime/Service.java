package io.jacinthquay.runtime;

/**
 * A part of a program with its own threads or connections.
 *
 * <p>A service is started once and stopped once. {@link #stop()} returns when everything that the
 * service owns has ended.
 */
public interface Service {
  /**
   * Starts the service and returns when it is ready.
   *
   * @throws IllegalStateException if the service cannot start
   */
  void start();

  /** Stops the service; does nothing if it never started. */
  void stop();
}
