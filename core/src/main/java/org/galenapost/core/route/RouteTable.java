package org.galenapost.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** An immutable index of the routes, services and workspaces of one configuration version. */
public final class RouteTable {

  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();

  private final GatewayConfiguration configuration;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final Map<String, TargetService> services = new HashMap<>();
  private final Map<String, GatewayWorkspace> workspacesByKey = new HashMap<>();

  private final Map<String, Set<Integer>> prioritiesByService = new HashMap<>();

  private RouteTable(GatewayConfiguration configuration) {
    this.configuration = configuration;
    for (Route route : configuration.routes()) {
      for (RouteTarget target : route.targets()) {
        prioritiesByService
            .computeIfAbsent(target.service(), service -> new HashSet<>())
            .add(route.priority());
      }
      routesByHost.computeIfAbsent(lowerCase(route.host()), host -> new ArrayList<>()).add(route);
    }
    routesByHost.values().forEach(routes -> routes.sort(LONGEST_PREFIX_FIRST));
    configuration.services().forEach(service -> services.put(service.name(), service));
    for (GatewayWorkspace workspace : configuration.workspaces()) {
      workspace.keys().forEach(key -> workspacesByKey.put(key, workspace));
    }
  }

  /** Returns the route table of a configuration. */
  public static RouteTable of(GatewayConfiguration configuration) {
    return new RouteTable(configuration);
  }

  /** Returns the version of the configuration. */
  public long version() {
    return configuration.version();
  }

  /** Returns the limits on requests. */
  public CallerLimits limits() {
    return configuration.limits();
  }

  /** Returns whether calls need a key unless their route is open. */
  public boolean requiresKeys() {
    return !configuration.workspaces().isEmpty();
  }

  /**
   * Returns the route with the longest prefix that matches the path.
   *
   * @param host the host that the caller addressed, with or without a port
   * @param path the path without the query
   */
  public Optional<Route> find(String host, String path) {
    List<Route> routes = routesByHost.getOrDefault(lowerCase(withoutPort(host)), List.of());
    return routes.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /** Returns the service with the given name. */
  public Optional<TargetService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the priorities of the routes that send calls to a service. */
  public Set<Integer> prioritiesOf(String service) {
    return Set.copyOf(prioritiesByService.getOrDefault(service, Set.of()));
  }

  /** Returns the workspace to which a key belongs. */
  public Optional<GatewayWorkspace> workspaceOf(String key) {
    return Optional.ofNullable(workspacesByKey.get(key));
  }

  /** Returns the longest timeout of a route, in milliseconds; 0 if there is no route. */
  public long longestTimeoutMs() {
    return configuration.routes().stream().mapToLong(Route::timeoutMs).max().orElse(0);
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    boolean isIpv6Literal = host.endsWith("]");
    return colon < 0 || isIpv6Literal ? host : host.substring(0, colon);
  }

  private static String lowerCase(String host) {
    return host.toLowerCase(Locale.ROOT);
  }
}
