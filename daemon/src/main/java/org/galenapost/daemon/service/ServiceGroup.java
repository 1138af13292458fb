package org.galenapost.daemon.service;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.galenapost.daemon.log.EventLog;

/** A service that starts other services in order and stops them in reverse order. */
public final class ServiceGroup implements Service {

  private final String name;
  private final List<Service> services;
  private final EventLog log;
  private final Deque<Service> started = new ArrayDeque<>();

  /**
   * Creates a group.
   *
   * @param name the name of the group
   * @param services the services in the order in which they start
   * @param log the log of starts and stops
   */
  public ServiceGroup(String name, List<Service> services, EventLog log) {
    this.name = name;
    this.services = List.copyOf(services);
    this.log = log;
  }

  @Override
  public String name() {
    return name;
  }

  /** Starts all services. If one fails to start, the services started before it are stopped. */
  @Override
  public synchronized void start() {
    try {
      services.forEach(this::startOne);
    } catch (RuntimeException e) {
      stop();
      throw e;
    }
  }

  private void startOne(Service service) {
    service.start();
    started.push(service);
    log.info("service_started").with("service", service.name()).write();
  }

  /** Stops all running services, even if some of them fail to stop. */
  @Override
  public synchronized void stop() {
    while (!started.isEmpty()) {
      stopOne(started.pop());
    }
  }

  private void stopOne(Service service) {
    try {
      service.stop();
      log.info("service_stopped").with("service", service.name()).write();
    } catch (RuntimeException e) {
      log.error("service_stop_failed").with("service", service.name()).with("error", e).write();
    }
  }
}
