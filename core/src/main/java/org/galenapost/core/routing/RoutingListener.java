package org.galenapost.core.routing;

/** Hears of events that operators count. */
public interface RoutingListener {

  /** Ignores every event. */
  RoutingListener NONE = new RoutingListener() {};

  /** Hears that a server was ejected after failures. */
  default void onEjected(String serverId) {}

  /** Hears that ejected servers were used because too few others were left. */
  default void onAvailableFloorApplied(String target) {}

  /** Hears that a request was sent to another data centre. */
  default void onRemoteDataCentreUsed(String serverId) {}
}
