package org.galenapost.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.galenapost.core.routing.ServerHealth.Condition;

/** Leaves ejected servers out of a pool, but never more of them than the floor allows. */
final class AvailablePool {

  private final RoutingSettings settings;
  private final RandomGenerator random;
  private final RoutingListener listener;

  AvailablePool(RoutingSettings settings, RandomGenerator random, RoutingListener listener) {
    this.settings = settings;
    this.random = random;
    this.listener = listener;
  }

  /** Returns the servers in use; those that recover are not among them unless the floor asks. */
  List<ServerLoad> select(RouteRequest request, List<ServerLoad> eligible, long nowNanos) {
    List<ServerLoad> available = new ArrayList<>();
    List<ServerLoad> heldBack = new ArrayList<>();
    for (ServerLoad server : eligible) {
      boolean isActive = server.health().condition(nowNanos) == Condition.ACTIVE;
      (isActive ? available : heldBack).add(server);
    }
    int floor = (int) Math.ceil(eligible.size() * settings.availableFloor());
    if (available.size() < floor) {
      listener.onAvailableFloorApplied(request.target());
      heldBack.sort(mostReliableFirst(nowNanos));
      available.addAll(heldBack.subList(0, floor - available.size()));
    }
    return available;
  }

  /** Returns a recovering server for a small part of the requests, so that it can prove itself. */
  Optional<ServerLoad> probeCandidate(List<ServerLoad> eligible, long nowNanos) {
    if (random.nextDouble() >= settings.probeShare()) {
      return Optional.empty();
    }
    return eligible.stream()
        .filter(server -> server.health().condition(nowNanos) == Condition.PROBING)
        .filter(server -> server.inFlight() < server.health().probeLimit())
        .min(Comparator.comparingInt(ServerLoad::inFlight));
  }

  private static Comparator<ServerLoad> mostReliableFirst(long nowNanos) {
    return Comparator.<ServerLoad>comparingDouble(server -> -server.successRate(nowNanos))
        .thenComparingLong(server -> server.health().ejectedUntilNanos() - nowNanos)
        .thenComparing(server -> server.server().id());
  }
}
