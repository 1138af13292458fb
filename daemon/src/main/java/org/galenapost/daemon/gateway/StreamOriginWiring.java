package org.galenapost.daemon.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationFollower;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.origin.OriginRecords;
import org.galenapost.core.origin.StreamOrigins;
import org.galenapost.core.origin.VersionHistory;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformReachability;
import org.galenapost.core.route.RouteTable;
import org.galenapost.core.route.RouteTableHolder;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.GatewaySettings;

/** Wires what a daemon knows of the streams that it and others have begun. */
final class StreamOriginWiring {

  /** A stream runs for up to its timeout before it breaks, and its caller returns in another. */
  private static final int MAX_STREAM_TIMEOUTS = 2;

  private static final Duration DEFAULT_MAX_STREAM_AGE = Duration.ofMinutes(2);

  /** Servers whose entries lapsed in an outage of the store are back by then. */
  private static final Duration STORE_RECOVERY = Duration.ofSeconds(2);

  private final StreamOrigins origins;
  private final OriginRecords records;

  StreamOriginWiring(
      GatewaySettings settings,
      PeerBus bus,
      ObjectStore store,
      InstanceDirectory directory,
      RouteTableHolder routes,
      ConfigurationFollower follower,
      PlatformReachability reachability,
      Scheduler scheduler,
      MonotonicClock clock) {
    this.origins = new StreamOrigins(bus, scheduler, clock);
    VersionHistory history =
        new VersionHistory(
            directory,
            clock,
            () -> maxStreamAge(routes.current()),
            follower::isReady,
            () -> !reachability.isUnreachableOrRecoveredWithin(STORE_RECOVERY));
    this.records =
        new OriginRecords(
            settings.daemon().id(),
            store,
            bus,
            scheduler,
            clock,
            history,
            origins,
            new OriginRecordLog());
  }

  private static Duration maxStreamAge(Optional<RouteTable> routes) {
    return routes
        .map(RouteTable::longestTimeoutMs)
        .filter(timeoutMs -> timeoutMs > 0)
        .map(timeoutMs -> Duration.ofMillis(MAX_STREAM_TIMEOUTS * timeoutMs))
        .orElse(DEFAULT_MAX_STREAM_AGE);
  }

  StreamOrigins origins() {
    return origins;
  }

  OriginRecords records() {
    return records;
  }

  List<Service> services() {
    return List.of(
        Service.of("stream-origins", origins::start, origins::stop),
        Service.of("origin-records", records::start, records::stop));
  }

  void addGauges(DaemonMetrics metrics) {
    metrics.registerGauge("galenapost.gateway.stream.origins", origins::count);
    metrics.registerGauge("galenapost.gateway.origin.record.writes", records::writeCount);
  }
}
