package org.galenapost.daemon.service;

/** A component of the daemon that owns resources, such as threads, sockets or timers. */
public interface Service {

  /** Returns the name used in logs. */
  String name();

  /**
   * Starts the service and returns once it is operational.
   *
   * @throws ServiceStartException if it cannot start
   */
  void start();

  /**
   * Stops the service and releases its resources. It has no effect if the service is not running.
   */
  void stop();

  /** Returns a service that runs the given actions on start and on stop. */
  static Service of(String name, Runnable start, Runnable stop) {
    return new Service() {
      @Override
      public String name() {
        return name;
      }

      @Override
      public void start() {
        start.run();
      }

      @Override
      public void stop() {
        stop.run();
      }
    };
  }
}
