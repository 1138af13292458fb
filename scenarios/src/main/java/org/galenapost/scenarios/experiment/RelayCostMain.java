package org.galenapost.scenarios.experiment;

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
import org.galenapost.scenarios.process.JavaCommand;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.standins.load.LoadMain;

/**
 * Measures the cost of relaying streams through one daemon: CPU time per token and memory, for
 * several numbers of concurrent streams. Prints one table row for each.
 */
public final class RelayCostMain {

  private static final int ENGINE_COUNT = 4;
  private static final int TOKEN_INTERVAL_MS = 250;
  private static final int TOKENS_PER_STREAM = 100;
  private static final double STREAM_SECONDS = TOKENS_PER_STREAM * TOKEN_INTERVAL_MS / 1000.0;
  private static final Duration RAMP_UP_TIME = Duration.ofSeconds(28);
  private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(10);
  private static final long LOAD_DURATION_MS =
      RAMP_UP_TIME.plus(MEASUREMENT_TIME).plusSeconds(4).toMillis();
  private static final String DAEMON = "d1";
  private static final String WORKLOAD =
      """
      seed: 1
      duration_ms: %d
      warm_up_ms: 1000
      drain_ms: 5000
      reconnect: false
      classes:
        - name: stream
          kind: generation
          rate_per_second: %s
          workspace: clerks
          workspace_key: clerks-key-0123456789
          profile: default
          model: m1
          prefixes: 4
          prefix_characters: 256
          prompt_characters: 50
          max_tokens: %d
          deadline_ms: 60000
      """;

  private final ControlClient control = new ControlClient();
  private final int streams;

  private RelayCostMain(int streams) {
    this.streams = streams;
  }

  /**
   * Runs the measurements.
   *
   * @param arguments the numbers of concurrent streams, one measurement each
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    System.out.println("| streams | in progress | tokens/s | CPU µs a token | resident MB |");
    System.out.println("|---|---|---|---|---|");
    for (String argument : arguments) {
      System.out.println(new RelayCostMain(Integer.parseInt(argument)).measure());
    }
    System.exit(0);
  }

  private String measure() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("galenapost-relay-cost");
    try (RunningFleet fleet = RunningFleet.start(fleetSpec(), folder, Optional.empty())) {
      Process load = startLoad(fleet, folder);
      ManagedProcess.pause(RAMP_UP_TIME);
      ProcessCost before = ProcessCost.of(fleet, control, DAEMON);
      long tokensBefore = generatedTokens(fleet);
      ManagedProcess.pause(MEASUREMENT_TIME);
      ProcessCost after = ProcessCost.of(fleet, control, DAEMON);
      long tokens = generatedTokens(fleet) - tokensBefore;
      double inProgress =
          ProcessCost.gauge(fleet, control, DAEMON, "galenapost_requests_in_progress");
      load.waitFor();
      return row(after.cpu().minus(before.cpu()), tokens, inProgress, after.residentBytes());
    }
  }

  private FleetSpec fleetSpec() {
    List<String> options =
        List.of(
            "--slots", "4000",
            "--tokens-per-second", "100000",
            "--token-interval-ms", Integer.toString(TOKEN_INTERVAL_MS));
    List<FleetSpec.EngineSpec> engines = new ArrayList<>();
    for (int i = 1; i <= ENGINE_COUNT; i++) {
      engines.add(
          new FleetSpec.EngineSpec(
              "e" + i,
              List.of("m1"),
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              Optional.of(options)));
    }
    FleetSpec.WorkspaceSpec workspace =
        new FleetSpec.WorkspaceSpec(
            "clerks", "clerks-key-0123456789", Optional.empty(), Optional.of(100_000));
    FleetSpec.DaemonSpec daemon =
        new FleetSpec.DaemonSpec(DAEMON, Optional.empty(), Optional.empty(), Optional.empty());
    return new FleetSpec(
        List.of(daemon),
        engines,
        Optional.empty(),
        Optional.empty(),
        Optional.of(List.of(workspace)),
        Optional.empty());
  }

  private Process startLoad(RunningFleet fleet, Path folder) throws IOException {
    String rate = Double.toString(streams / STREAM_SECONDS);
    Path workload = folder.resolve("workload.yaml");
    Files.writeString(workload, WORKLOAD.formatted(LOAD_DURATION_MS, rate, TOKENS_PER_STREAM));
    List<String> arguments =
        List.of("--workload", workload.toString(), "--target", fleet.callerAddress(DAEMON));
    return new ProcessBuilder(JavaCommand.of(LoadMain.class.getName(), arguments))
        .redirectErrorStream(true)
        .redirectOutput(folder.resolve("load.log").toFile())
        .start();
  }

  private long generatedTokens(RunningFleet fleet) {
    long tokens = 0;
    for (int i = 1; i <= ENGINE_COUNT; i++) {
      String url = fleet.standinUrl("e" + i) + "/standin/counts";
      tokens += control.get(url).json().path("tokens_generated").asLong();
    }
    return tokens;
  }

  private String row(Duration cpu, long tokens, double inProgress, long residentBytes) {
    return String.format(
        Locale.ROOT,
        "| %d | %.0f | %.0f | %.1f | %.0f |",
        streams,
        inProgress,
        tokens / (double) MEASUREMENT_TIME.toSeconds(),
        cpu.toNanos() / 1000.0 / Math.max(1, tokens),
        residentBytes / 1_000_000.0);
  }
}
