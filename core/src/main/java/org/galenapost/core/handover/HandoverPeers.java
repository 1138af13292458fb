package org.galenapost.core.handover;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.InstanceKey;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Knows which daemons take calls for a service from others and chooses one for each call, the one
 * with the fewest handed-over calls in progress. A daemon of another data centre is chosen if that
 * saves a call in progress. Not safe for use by several threads.
 */
public final class HandoverPeers {

  private static final String ID_PREFIX = "daemon:";

  /** How soon a change of the status is told, and a daemon that joins told the status. */
  private static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

  /** Daemons that missed a change learn it this soon; shorter costs messages without news. */
  private static final Duration STATUS_PERIOD = Duration.ofSeconds(4);

  /** A daemon that has not told its status for some periods is not chosen. */
  private static final Duration STATUS_LIFETIME = STATUS_PERIOD.multipliedBy(3);

  private static final double OTHER_DATA_CENTRE_PENALTY_CALLS = 1;

  private final String dataCentre;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final RandomSource random;
  private final ServerUseTracker useTracker;
  private final InstanceHealth health;
  private final Supplier<HandoverStatus> ownStatus;
  private final BiConsumer<String, Set<String>> onUnreachedElsewhere;
  private final Map<String, Peer> peers = new HashMap<>();
  private Set<String> toldDaemons = Set.of();
  private HandoverStatus toldStatus;
  private long toldNanos;
  private boolean isRunning;

  /**
   * Creates a directory without daemons.
   *
   * @param dataCentre the data centre of this daemon
   * @param bus the bus to the daemons that exchange calls
   * @param scheduler runs the periodic status messages
   * @param clock elapsed time
   * @param random breaks ties
   * @param useTracker the handed-over calls in progress at each daemon
   * @param health the recent failures of each daemon
   * @param ownStatus returns the status of this daemon
   * @param onUnreachedElsewhere receives the id of another daemon and the services of which it
   *     reaches no server, whenever these change
   */
  public HandoverPeers(
      String dataCentre,
      PeerBus bus,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomSource random,
      ServerUseTracker useTracker,
      InstanceHealth health,
      Supplier<HandoverStatus> ownStatus,
      BiConsumer<String, Set<String>> onUnreachedElsewhere) {
    this.dataCentre = dataCentre;
    this.bus = bus;
    this.scheduler = scheduler;
    this.clock = clock;
    this.random = random;
    this.useTracker = useTracker;
    this.health = health;
    this.ownStatus = ownStatus;
    this.onUnreachedElsewhere = onUnreachedElsewhere;
  }

  /** Starts to exchange status messages. */
  public void start() {
    isRunning = true;
    bus.onMessage(HandoverStatus.class, this::onStatus);
    announcePeriodically();
  }

  /** Stops the periodic messages. */
  public void stop() {
    isRunning = false;
  }

  private void announcePeriodically() {
    if (!isRunning) {
      return;
    }
    boolean isDue =
        clock.since(toldNanos).compareTo(STATUS_PERIOD) >= 0
            || !toldDaemons.containsAll(bus.livePeerIds())
            || !ownStatus.get().equals(toldStatus);
    if (isDue) {
      announce();
    }
    scheduler.schedule(CHECK_PERIOD, this::announcePeriodically);
  }

  /** Tells the other daemons the status of this one. */
  public void announce() {
    toldDaemons = Set.copyOf(bus.livePeerIds());
    toldNanos = clock.nanos();
    toldStatus = ownStatus.get();
    bus.broadcast(toldStatus);
  }

  private void onStatus(String daemonId, HandoverStatus status) {
    Peer previous = peers.put(daemonId, new Peer(instanceOf(daemonId, status), status, clock));
    Set<String> known = previous == null ? Set.of() : previous.status.unreachedServices();
    if (!known.equals(status.unreachedServices())) {
      onUnreachedElsewhere.accept(daemonId, status.unreachedServices());
    }
  }

  /** Returns the daemon as the receiver of sends, which servers are otherwise. */
  private static ServerInstance instanceOf(String daemonId, HandoverStatus status) {
    return new ServerInstance(
        ID_PREFIX + daemonId,
        0,
        0,
        "",
        status.callerIp(),
        status.callerPort(),
        status.dataCentre(),
        1,
        false,
        "");
  }

  /**
   * Chooses the daemon that runs a call.
   *
   * @param service the service of the call
   * @param excluded the daemons that must not be chosen
   */
  public Optional<ServerInstance> choose(String service, Set<InstanceKey> excluded) {
    Set<String> live = bus.livePeerIds();
    peers.keySet().retainAll(live);
    return peers.values().stream()
        .filter(peer -> peer.takesCallsFor(service, clock))
        .map(peer -> peer.instance)
        .filter(instance -> !excluded.contains(instance.key()))
        .filter(instance -> !health.isAvoided(instance.key()))
        .map(instance -> new Candidate(instance, cost(instance)))
        .min(Comparator.comparingDouble(Candidate::cost))
        .map(Candidate::instance);
  }

  private double cost(ServerInstance instance) {
    double penalty = instance.dataCentre().equals(dataCentre) ? 0 : OTHER_DATA_CENTRE_PENALTY_CALLS;
    return useTracker.total(instance).calls() + penalty + random.nextDouble();
  }

  private record Candidate(ServerInstance instance, double cost) {}

  private static final class Peer {
    private final ServerInstance instance;
    private final HandoverStatus status;
    private final long receivedNanos;

    Peer(ServerInstance instance, HandoverStatus status, MonotonicClock clock) {
      this.instance = instance;
      this.status = status;
      this.receivedNanos = clock.nanos();
    }

    boolean takesCallsFor(String service, MonotonicClock clock) {
      return status.isAccepting()
          && !status.unreachedServices().contains(service)
          && clock.since(receivedNanos).compareTo(STATUS_LIFETIME) < 0;
    }
  }
}
