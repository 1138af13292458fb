package org.galenapost.scenarios.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.fleet.RunningFleet;
import org.galenapost.scenarios.language.FleetSpec;
import org.galenapost.scenarios.process.ManagedProcess;

/**
 * Measures the cost of the control plane: daemons without callers, for several numbers of daemons
 * and servers. Prints one table row for each pair, which includes the time until a configuration
 * change has reached all daemons.
 */
public final class ControlCostMain {

  private static final Duration SETTLE_TIME = Duration.ofSeconds(15);
  private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(30);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(5);
  private static final int CHANGE_COUNT = 5;
  private static final double MILLIS_PER_SECOND = 1000.0;
  private static final String PROFILE =
      """
      {"urgency":"normal","idempotent":true,"deadline_ms":%d,"recovery":"hedge","rerun":"error"}\
      """;

  private final ControlClient control = new ControlClient();
  private final int daemons;
  private final int servers;

  private ControlCostMain(int daemons, int servers) {
    this.daemons = daemons;
    this.servers = servers;
  }

  /**
   * Runs the measurements.
   *
   * @param arguments pairs {@code DAEMONS:SERVERS}; all servers are configured, but they share one
   *     running engine
   */
  public static void main(String[] arguments) throws IOException {
    System.out.println(
        "| daemons | servers | CPU % of a core | resident MB | peer bytes/s"
            + " | platform reads/min | writes/min | change in force ms, median / longest |");
    System.out.println("|---|---|---|---|---|---|---|---|");
    for (String argument : arguments) {
      String[] pair = argument.split(":");
      int daemons = Integer.parseInt(pair[0]);
      System.out.println(new ControlCostMain(daemons, Integer.parseInt(pair[1])).measure());
    }
    System.exit(0);
  }

  private String measure() throws IOException {
    Path folder = Files.createTempDirectory("galenapost-control-cost");
    try (RunningFleet fleet = RunningFleet.start(fleetSpec(), folder, Optional.empty())) {
      addServers(fleet);
      ManagedProcess.pause(SETTLE_TIME);
      List<ProcessCost> before = costs(fleet);
      control.send("POST", countsUrl(fleet) + "/reset", Optional.empty(), "{}");
      ManagedProcess.pause(MEASUREMENT_TIME);
      JsonNode counts = control.get(countsUrl(fleet)).json();
      List<ProcessCost> after = costs(fleet);
      return row(before, after, counts, propagationTimesMs(fleet));
    }
  }

  private FleetSpec fleetSpec() {
    List<FleetSpec.DaemonSpec> daemonSpecs = new ArrayList<>();
    for (int i = 1; i <= daemons; i++) {
      String dataCentre = "dc" + (i % 3 + 1);
      daemonSpecs.add(
          new FleetSpec.DaemonSpec(
              "d" + i, Optional.of(dataCentre), Optional.empty(), Optional.empty()));
    }
    FleetSpec.EngineSpec engine =
        new FleetSpec.EngineSpec(
            "e1",
            List.of("m1"),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    return new FleetSpec(
        daemonSpecs,
        List.of(engine),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }

  /** Configures the other servers with the address of the only running engine. */
  private void addServers(RunningFleet fleet) {
    String engine = fleet.standinUrl("e1");
    String port = engine.substring(engine.lastIndexOf(':') + 1);
    for (int i = 2; i <= servers; i++) {
      String json =
          """
          {"ip":"127.0.0.1","port":%s,"kind":"engine","data_centre":"dc%d","models":["m1"],\
          "state":"live","checks_fencing":true}\
          """
              .formatted(port, i % 3 + 1);
      control.putIfAbsent(fleet.standinUrl("platform") + "/v1/objects/server/e" + i, json);
    }
  }

  private static String countsUrl(RunningFleet fleet) {
    return fleet.standinUrl("platform") + "/standin/counts";
  }

  private List<ProcessCost> costs(RunningFleet fleet) throws IOException {
    List<ProcessCost> costs = new ArrayList<>();
    for (int i = 1; i <= daemons; i++) {
      costs.add(ProcessCost.of(fleet, control, "d" + i));
    }
    return costs;
  }

  private List<Long> propagationTimesMs(RunningFleet fleet) {
    List<Long> timesMs = new ArrayList<>();
    for (int i = 1; i <= CHANGE_COUNT; i++) {
      timesMs.add(propagationTimeMs(fleet, 10_000 + i));
    }
    return timesMs.stream().sorted().toList();
  }

  private long propagationTimeMs(RunningFleet fleet, int deadlineMs) {
    Optional<String> token = Optional.of(fleet.operatorToken());
    String path = "/v1/config/profile/changing";
    JsonNode current = control.send("GET", fleet.operatorUrl("d1") + path, token, "").json();
    String url =
        fleet.operatorUrl("d1") + path + "?expected_version=" + current.path("version").asLong(0);
    long startNanos = System.nanoTime();
    control.send("PUT", url, token, PROFILE.formatted(deadlineMs));
    for (int i = 1; i <= daemons; i++) {
      awaitDeadline(fleet.operatorUrl("d" + i) + path, token, deadlineMs);
    }
    return Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
  }

  private void awaitDeadline(String url, Optional<String> token, int deadlineMs) {
    while (control.send("GET", url, token, "").json().at("/value/deadline_ms").asInt()
        != deadlineMs) {
      ManagedProcess.pause(POLL_INTERVAL);
    }
  }

  private String row(
      List<ProcessCost> before,
      List<ProcessCost> after,
      JsonNode counts,
      List<Long> propagationMs) {
    double seconds = MEASUREMENT_TIME.toMillis() / MILLIS_PER_SECOND;
    double cpuMs = 0;
    double residentBytes = 0;
    double peerBytes = 0;
    for (int i = 0; i < daemons; i++) {
      cpuMs += after.get(i).cpu().minus(before.get(i).cpu()).toMillis();
      residentBytes += after.get(i).residentBytes();
      peerBytes += after.get(i).peerBytes() - before.get(i).peerBytes();
    }
    return String.format(
        Locale.ROOT,
        "| %d | %d | %.2f | %.0f | %.0f | %.1f | %.1f | %d / %d |",
        daemons,
        servers,
        cpuMs / daemons / seconds / 10,
        residentBytes / daemons / 1_000_000,
        peerBytes / daemons / seconds,
        counts.path("reads").asDouble() / daemons * 60 / seconds,
        counts.path("writes").asDouble() / daemons * 60 / seconds,
        propagationMs.get(propagationMs.size() / 2),
        propagationMs.get(propagationMs.size() - 1));
  }
}
