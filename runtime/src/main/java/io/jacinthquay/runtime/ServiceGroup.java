package io.jacinthquay.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Starts services in order and stops them in reverse order.
 *
 * <pre>{@code
 * ServiceGroup group = new ServiceGroup(List.of(store, server));
 * group.start();
 * }</pre>
 *
 * <p>If one fails to start, those before it are stopped.
 */
public final class ServiceGroup implements Service {
  private final List<Service> services;
  private final Deque<Service> running = new ArrayDeque<>();

  /** Returns a group over services, in the order in which they start. */
  public ServiceGroup(List<? extends Service> services) {
    this.services = List.copyOf(services);
  }

  @Override
  public synchronized void start() {
    for (Service service : services) {
      try {
        service.start();
      } catch (RuntimeException e) {
        stop();
        throw e;
      }
      running.push(service);
    }
  }

  @Override
  public synchronized void stop() {
    while (!running.isEmpty()) {
      running.pop().stop();
    }
  }
}
