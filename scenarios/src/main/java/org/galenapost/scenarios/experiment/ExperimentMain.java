package org.galenapost.scenarios.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.galenapost.scenarios.language.ScenarioReader;

/** The program {@code galenapost-experiment}: runs an experiment file and prints its table. */
public final class ExperimentMain {

  private static final int EXIT_USAGE = 2;

  private ExperimentMain() {}

  /**
   * Runs the experiment.
   *
   * @param arguments the path of the experiment file, and nothing else
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    if (arguments.length != 1) {
      System.err.println("usage: galenapost-experiment FILE");
      System.exit(EXIT_USAGE);
    }
    Path file = Path.of(arguments[0]);
    Experiment experiment = ScenarioReader.read(file, Experiment.class);
    Path folder = Files.createTempDirectory("galenapost-experiment");
    ExperimentRunner runner = new ExperimentRunner(experiment, file, folder);
    System.out.printf(
        "%s: %d ms a run, seeds %s%n%n",
        experiment.name(), experiment.durationMs(), experiment.seeds());
    System.out.print(ExperimentTable.HEADER);
    for (Experiment.Failure failure : experiment.failures()) {
      for (Experiment.Variant variant : experiment.variants()) {
        List<RunResult> results = runner.run(variant, failure);
        System.out.println(ExperimentTable.row(variant.name(), failure.name(), results));
      }
    }
    System.exit(0);
  }
}
