package org.galenapost.scenarios.run;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.galenapost.scenarios.client.CallerClient;
import org.galenapost.scenarios.fleet.RunningFleet;
import org.galenapost.scenarios.language.Scenario;
import org.galenapost.scenarios.language.Step;

/** Runs scenarios. Each run starts its own processes. */
public final class ScenarioRunner {

  private final Path workFolder;

  /**
   * Creates a runner.
   *
   * @param workFolder the folder for the settings and output of the processes
   */
  public ScenarioRunner(Path workFolder) {
    this.workFolder = workFolder;
  }

  /** Runs a scenario with all mechanisms in place. */
  public ScenarioResult run(Scenario scenario) {
    return run(scenario, Optional.empty());
  }

  /** Runs a scenario with a naive version of the mechanism that it names. */
  public ScenarioResult runWithoutMechanism(Scenario scenario) {
    return run(scenario, scenario.without());
  }

  private ScenarioResult run(Scenario scenario, Optional<String> without) {
    long startNanos = System.nanoTime();
    Optional<String> failure = runSteps(scenario, without);
    Duration duration = Duration.ofNanos(System.nanoTime() - startNanos);
    return new ScenarioResult(scenario.name(), without, failure, duration);
  }

  private Optional<String> runSteps(Scenario scenario, Optional<String> without) {
    Path folder = workFolder.resolve(scenario.name() + without.map(name -> "-without").orElse(""));
    try (RunningFleet fleet = RunningFleet.start(scenario.fleet(), folder, without);
        CallerClient caller = new CallerClient()) {
      StepExecutor executor = new StepExecutor(fleet, caller);
      int stepNumber = 1;
      for (Step step : scenario.steps()) {
        executor.execute(stepNumber, step);
        stepNumber++;
      }
      return Optional.empty();
    } catch (ScenarioFailure e) {
      return e.message();
    }
  }
}
