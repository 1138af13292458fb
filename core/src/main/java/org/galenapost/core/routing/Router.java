package org.galenapost.core.routing;

import io.vavr.control.Either;
import org.galenapost.core.verdict.Refusal;

/** Chooses a backend server for each request. */
@FunctionalInterface
public interface Router {

  /**
   * Chooses a server and counts the request as in flight there until the route is ended.
   *
   * @param request the request to route
   * @return the route, or a refusal if no server can serve the request
   */
  Either<Refusal, Route> route(RouteRequest request);
}
