package org.galenapost.standins.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Dispatches each exchange to the handler of its method and path. */
public final class Routes implements RequestHandler {

  private final List<Route> routes = new ArrayList<>();
  private RequestHandler fallback =
      exchange -> {
        throw HttpError.notFound(exchange.method() + " " + exchange.path());
      };

  private Routes() {}

  /** Returns an empty set of routes. */
  public static Routes create() {
    return new Routes();
  }

  /**
   * Adds a route.
   *
   * @param template the path; a segment in braces is a path parameter and matches any one segment
   */
  public Routes on(HttpMethod method, String template, RequestHandler handler) {
    routes.add(new Route(method, List.of(template.split("/", -1)), handler));
    return this;
  }

  /** Sets the handler for exchanges that match no route. The default responds with status 404. */
  public Routes otherwise(RequestHandler handler) {
    fallback = handler;
    return this;
  }

  @Override
  public void handle(Exchange exchange) {
    List<String> path = List.of(exchange.rawPath().split("/", -1));
    for (Route route : routes) {
      Optional<Map<String, String>> parameters = route.match(exchange.method(), path);
      if (parameters.isPresent()) {
        exchange.setPathParameters(parameters.get());
        route.handler().handle(exchange);
        return;
      }
    }
    fallback.handle(exchange);
  }

  private record Route(HttpMethod method, List<String> template, RequestHandler handler) {

    Optional<Map<String, String>> match(HttpMethod actualMethod, List<String> path) {
      if (!method.equals(actualMethod) || template.size() != path.size()) {
        return Optional.empty();
      }
      Map<String, String> parameters = new HashMap<>();
      for (int i = 0; i < path.size(); i++) {
        String expected = template.get(i);
        if (expected.startsWith("{")) {
          parameters.put(expected.substring(1, expected.length() - 1), decode(path.get(i)));
        } else if (!expected.equals(path.get(i))) {
          return Optional.empty();
        }
      }
      return Optional.of(parameters);
    }

    private static String decode(String segment) {
      return new QueryStringDecoder(segment).path();
    }
  }
}
