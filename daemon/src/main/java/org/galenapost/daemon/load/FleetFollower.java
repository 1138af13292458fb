package org.galenapost.daemon.load;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.routing.DaemonSite;
import org.galenapost.core.routing.ServerSubset;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.service.Service;

/** Recomputes this daemon's subset of the servers when the fleet or the daemons change. */
public final class FleetFollower implements Service {

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

  private final DaemonSite self;
  private final Supplier<Collection<DaemonSite>> daemons;
  private final Supplier<Collection<BackendServer>> fleet;
  private final BooleanSupplier isFleetKnown;
  private final Consumer<List<BackendServer>> onSubset;
  private final ServerSubset subset;
  private final Scheduler scheduler;
  private Optional<Snapshot> lastSnapshot = Optional.empty();
  private Collection<BackendServer> lastFleet = List.of();
  private Scheduler.Cancellable nextCheck = () -> {};
  private boolean isRunning;
  private volatile boolean hasPublishedFleet;

  /**
   * Creates a follower.
   *
   * @param self this daemon
   * @param daemons the daemons believed alive
   * @param fleet the whole fleet
   * @param isFleetKnown whether the fleet was read in full
   * @param subset computes the subset
   * @param onSubset told of each new subset
   * @param scheduler runs the checks
   */
  public FleetFollower(
      DaemonSite self,
      Supplier<Collection<DaemonSite>> daemons,
      Supplier<Collection<BackendServer>> fleet,
      BooleanSupplier isFleetKnown,
      ServerSubset subset,
      Consumer<List<BackendServer>> onSubset,
      Scheduler scheduler) {
    this.self = self;
    this.daemons = daemons;
    this.fleet = fleet;
    this.isFleetKnown = isFleetKnown;
    this.subset = subset;
    this.onSubset = onSubset;
    this.scheduler = scheduler;
  }

  @Override
  public String name() {
    return "fleet-follower";
  }

  @Override
  public synchronized void start() {
    isRunning = true;
    checkAndScheduleNext();
  }

  @Override
  public synchronized void stop() {
    isRunning = false;
    nextCheck.cancel();
  }

  private synchronized void checkAndScheduleNext() {
    if (!isRunning) {
      return;
    }
    check();
    nextCheck = scheduler.schedule(CHECK_INTERVAL, this::checkAndScheduleNext);
  }

  /** Returns whether a fleet that was read in full has been passed on, as it stays from then on. */
  public boolean hasPublishedFleet() {
    return hasPublishedFleet;
  }

  private void check() {
    boolean wasFleetKnown = isFleetKnown.getAsBoolean();
    publishChange();
    hasPublishedFleet = hasPublishedFleet || wasFleetKnown;
  }

  private void publishChange() {
    Collection<BackendServer> fleetNow = fleet.get();
    Set<DaemonSite> daemonsNow = new HashSet<>(daemons.get());
    boolean isSameSnapshot = fleetNow == lastFleet && lastSnapshot.isPresent();
    if (isSameSnapshot && lastSnapshot.get().daemons().equals(daemonsNow)) {
      return;
    }
    lastFleet = fleetNow;
    Snapshot now = new Snapshot(daemonsNow, new HashSet<>(fleetNow));
    if (lastSnapshot.filter(now::equals).isPresent()) {
      return;
    }
    lastSnapshot = Optional.of(now);
    onSubset.accept(subset.of(self, now.daemons(), now.fleet()));
  }

  private record Snapshot(Set<DaemonSite> daemons, Set<BackendServer> fleet) {}
}
