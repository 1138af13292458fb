package org.galenapost.core.route;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import org.galenapost.core.json.Json;

/**
 * Everything that operators say of the gateway's calls, as one document.
 *
 * @param version rises with each publication
 * @param routes the routes
 * @param services the services
 * @param limits what callers may send
 * @param workspaces the workspaces; with none, calls need no key
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

  /** Reads a document, or says in one line what is wrong with it. */
  public static Either<String, GatewayConfiguration> read(String json) {
    return Json.read(json, GatewayConfiguration.class);
  }

  /** Returns the document as JSON text. */
  public String toJson() {
    return Json.write(this);
  }
}
