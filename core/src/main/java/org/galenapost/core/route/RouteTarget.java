package org.galenapost.core.route;

import java.util.Objects;

/**
 * A service that receives a share of a route's calls.
 *
 * @param service the name of the service
 * @param weight the share, relative to the other targets of the route
 */
public record RouteTarget(String service, int weight) {

  /** Checks the arguments. */
  public RouteTarget {
    Objects.requireNonNull(service, "service");
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative, but was " + weight);
    }
  }
}
