package org.galenapost.core.route;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import org.galenapost.core.json.Json;

/**
 * The configuration of the gateway that operators publish, as one document.
 *
 * @param version the version, which increases with each publication
 * @param routes the routes
 * @param services the services
 * @param limits the limits on requests
 * @param workspaces the workspaces; if there are none, calls need no key
 */
public record GatewayConfiguration(
    long version,
    List<Route> routes,
    List<TargetService> services,
    CallerLimits limits,
    List<GatewayWorkspace> workspaces) {

  /** Copies the lists. */
  public GatewayConfiguration {
    Objects.requireNonNull(limits, "limits");
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    workspaces = List.copyOf(workspaces);
  }

  /** Parses a document; returns a one-line description of the error if it is not valid. */
  public static Either<String, GatewayConfiguration> read(String json) {
    return Json.read(json, GatewayConfiguration.class);
  }

  /** Returns the document as JSON text. */
  public String toJson() {
    return Json.write(this);
  }
}
