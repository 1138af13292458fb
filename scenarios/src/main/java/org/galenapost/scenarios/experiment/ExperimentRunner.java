package org.galenapost.scenarios.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.galenapost.scenarios.fleet.RunningFleet;
import org.galenapost.scenarios.language.FleetSpec;
import org.galenapost.scenarios.process.JavaCommand;
import org.galenapost.standins.load.LoadMain;

/** Runs the variants of an experiment, each run with a new fleet and one run at a time. */
final class ExperimentRunner {

  private static final ObjectMapper MAPPER = JsonMapper.builder().build();
  private static final long LOAD_EXIT_MARGIN_MS = 120_000;

  private final Experiment experiment;
  private final Path workload;
  private final Path folder;

  ExperimentRunner(Experiment experiment, Path experimentFile, Path folder) {
    this.experiment = experiment;
    this.workload = experimentFile.resolveSibling(experiment.workload());
    this.folder = folder;
  }

  /** Runs one variant against one failure with every seed. */
  List<RunResult> run(Experiment.Variant variant, Experiment.Failure failure)
      throws IOException, InterruptedException {
    List<RunResult> results = new ArrayList<>();
    for (long seed : experiment.seeds()) {
      results.add(runOnce(variant, failure, seed));
    }
    return results;
  }

  private RunResult runOnce(Experiment.Variant variant, Experiment.Failure failure, long seed)
      throws IOException, InterruptedException {
    String name = "%s-%s-%d".formatted(variant.name(), failure.name(), seed).replace(' ', '-');
    Path runFolder = folder.resolve(name);
    FleetSpec fleet = withRecovery(variant.recovery());
    Path output = runFolder.resolve("report.json");
    try (RunningFleet running = RunningFleet.start(fleet, runFolder, variant.without())) {
      FailureSchedule schedule = FailureSchedule.start(running, failure.events());
      runLoad(running, variant, seed, output);
      schedule.close();
    }
    return RunResult.of(MAPPER.readTree(output.toFile()));
  }

  private void runLoad(RunningFleet fleet, Experiment.Variant variant, long seed, Path output)
      throws IOException, InterruptedException {
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("--workload", workload.toString()));
    arguments.addAll(List.of("--seed", Long.toString(seed)));
    arguments.addAll(List.of("--duration-ms", Long.toString(experiment.durationMs())));
    arguments.addAll(List.of("--rate-factor", variant.rateFactor().orElse(1.0).toString()));
    arguments.addAll(List.of("--output", output.toString()));
    for (FleetSpec.DaemonSpec daemon : experiment.fleet().daemons()) {
      arguments.addAll(List.of("--target", fleet.callerAddress(daemon.id())));
    }
    for (FleetSpec.EngineSpec engine : experiment.fleet().engines()) {
      arguments.addAll(List.of("--engine", address(fleet, engine.id())));
    }
    for (FleetSpec.ServiceSpec service : experiment.fleet().services().orElse(List.of())) {
      arguments.addAll(List.of("--service", address(fleet, service.id())));
    }
    Process process =
        new ProcessBuilder(JavaCommand.of(LoadMain.class.getName(), arguments))
            .redirectErrorStream(true)
            .redirectOutput(output.resolveSibling("load.log").toFile())
            .start();
    if (!process.waitFor(experiment.durationMs() + LOAD_EXIT_MARGIN_MS, TimeUnit.MILLISECONDS)) {
      process.destroyForcibly();
    }
    if (!Files.exists(output)) {
      throw new IOException(
          "load tool wrote no report to " + output + ", see load.log in the same folder");
    }
  }

  private static String address(RunningFleet fleet, String standin) {
    return fleet.standinUrl(standin).substring("http://".length());
  }

  private FleetSpec withRecovery(Optional<String> recovery) {
    FleetSpec fleet = experiment.fleet();
    Optional<List<FleetSpec.ProfileSpec>> profiles =
        fleet
            .profiles()
            .map(list -> list.stream().map(profile -> profile.withRecovery(recovery)).toList());
    return new FleetSpec(
        fleet.daemons(),
        fleet.engines(),
        fleet.services(),
        profiles,
        fleet.workspaces(),
        fleet.platformArguments());
  }
}
