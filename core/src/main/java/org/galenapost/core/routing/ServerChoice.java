package org.galenapost.core.routing;

import java.util.List;

/** Chooses among the servers that can serve a request. */
@FunctionalInterface
public interface ServerChoice {

  /**
   * Chooses one server.
   *
   * @param request the request to route
   * @param eligible the servers that can serve it, never empty
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  Choice choose(RouteRequest request, List<ServerLoad> eligible, long nowNanos);

  /**
   * A chosen server.
   *
   * @param server the server
   * @param explanation why it was chosen, as key=value pairs
   */
  record Choice(ServerLoad server, String explanation) {}
}
