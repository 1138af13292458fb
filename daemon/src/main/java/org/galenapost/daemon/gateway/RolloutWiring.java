package org.galenapost.daemon.gateway;

import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.instance.ServerInstance;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.rollout.RolloutEnvironment;
import org.galenapost.core.rollout.RolloutStage;
import org.galenapost.core.rollout.Rollouts;
import org.galenapost.core.route.RouteTableHolder;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.GatewaySettings;

/** Wires the roll-outs of new versions, if the settings have bounds for them. */
final class RolloutWiring {

  private final Optional<Rollouts> rollouts;

  RolloutWiring(
      GatewaySettings settings,
      PeerBus bus,
      ObjectStore store,
      InstanceDirectory directory,
      RouteTableHolder routes,
      Scheduler scheduler,
      MonotonicClock clock,
      RandomSource random) {
    RolloutEnvironment environment =
        new RolloutEnvironment(
            settings.daemon().id(),
            bus,
            clock,
            InstantSource.system(),
            scheduler,
            random,
            service ->
                routes.current().map(table -> table.service(service).isPresent()).orElse(true),
            service -> runningVersions(directory, service),
            new RolloutLog());
    this.rollouts = settings.rollouts().map(bounds -> new Rollouts(environment, store, bounds));
  }

  private static List<String> runningVersions(InstanceDirectory directory, String service) {
    Map<String, Long> serverCounts =
        Stream.concat(directory.ready(service).stream(), directory.lapsed(service).stream())
            .collect(Collectors.groupingBy(ServerInstance::softwareVersion, Collectors.counting()));
    return serverCounts.entrySet().stream()
        .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()))
        .map(Map.Entry::getKey)
        .toList();
  }

  Optional<Rollouts> rollouts() {
    return rollouts;
  }

  List<Service> services() {
    return rollouts.stream()
        .map(parts -> Service.of("rollouts", parts::start, parts::stop))
        .toList();
  }

  void addGauges(DaemonMetrics metrics) {
    rollouts.ifPresent(
        parts -> {
          for (RolloutStage stage : RolloutStage.values()) {
            String name = "galenapost.gateway.rollouts." + stage.name().toLowerCase(Locale.ROOT);
            metrics.registerGauge(name, () -> parts.countIn(stage));
          }
          metrics.registerGauge("galenapost.gateway.rollout.target.sends", parts::targetSends);
          metrics.registerGauge(
              "galenapost.gateway.rollouts.coordinated", () -> parts.coordinated().size());
          metrics.registerGauge(
              "galenapost.gateway.rollout.watcher", () -> parts.isWatcher() ? 1 : 0);
        });
  }
}
