package io.jacinthquay.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A group of services that starts them in order and stops them in reverse order.
 *
 * <pre>{@code
 * ServiceGroup group = new ServiceGroup(List.of(store, server));
 * group.start();
 * }</pre>
 *
 * <p>If a service fails to start, the services that were started before it are stopped.
 */
public final class ServiceGroup implements Service {
  private final List<Service> services;
  private final Deque<Service> startedServices = new ArrayDeque<>();

  /** Creates a group of services, in the order in which they are started. */
  public ServiceGroup(List<? extends Service> services) {
    this.services = List.copyOf(services);
  }

  @Override
  public synchronized void start() {
    for (Service service : services) {
      try {
        service.start();
      } catch (RuntimeException | Error e) {
        stop();
        throw e;
      }
      startedServices.push(service);
    }
  }

  @Override
  public synchronized void stop() {
    while (!startedServices.isEmpty()) {
      startedServices.pop().stop();
    }
  }
}
