package org.galenapost.daemon.operator;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/** The routing table of the operator port. The first matching route handles a request. */
public final class OperatorRoutes {

  private final List<Route> routes = new CopyOnWriteArrayList<>();

  private record Route(
      HttpMethod method, PathPattern path, boolean isOpen, OperatorHandler handler) {}

  /** The route that matches a request, with the values of its path variables. */
  record Match(OperatorHandler handler, boolean isOpen, Map<String, String> pathParameters) {}

  /**
   * Adds a route that requires the operator token.
   *
   * @param method the HTTP method
   * @param pathPattern the path, with variables in braces, such as {@code /v1/config/{kind}}
   * @param handler the handler of its requests
   */
  public OperatorRoutes add(String method, String pathPattern, OperatorHandler handler) {
    return add(method, pathPattern, false, handler);
  }

  /** Adds an open route, which requires no operator token. */
  public OperatorRoutes addOpen(String method, String pathPattern, OperatorHandler handler) {
    return add(method, pathPattern, true, handler);
  }

  private OperatorRoutes add(
      String method, String pathPattern, boolean isOpen, OperatorHandler handler) {
    HttpMethod httpMethod = HttpMethod.valueOf(method);
    routes.add(new Route(httpMethod, new PathPattern(pathPattern), isOpen, handler));
    return this;
  }

  Optional<Match> find(HttpMethod method, String rawPath) {
    return routes.stream()
        .filter(route -> route.method().equals(method))
        .flatMap(route -> match(route, rawPath).stream())
        .findFirst();
  }

  private static Optional<Match> match(Route route, String rawPath) {
    return route
        .path()
        .match(rawPath)
        .map(variables -> new Match(route.handler(), route.isOpen(), variables));
  }
}
