package org.galenapost.core.routing;

/** Is notified of routing events, for metrics. */
public interface RoutingListener {

  /** Ignores every event. */
  RoutingListener NONE = new RoutingListener() {};

  /** Called when a server is ejected after failures. */
  default void onEjected(String serverId) {}

  /** Called when ejected servers are used because too few others are left. */
  default void onAvailableFloorApplied(String target) {}

  /** Called when a request is routed to another data centre. */
  default void onRemoteDataCentreUsed(String serverId) {}
}
