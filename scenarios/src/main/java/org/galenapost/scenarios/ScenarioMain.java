package org.galenapost.scenarios;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.scenarios.language.Scenario;
import org.galenapost.scenarios.language.ScenarioReader;
import org.galenapost.scenarios.run.ScenarioResult;
import org.galenapost.scenarios.run.ScenarioRunner;

/** The program {@code galenapost-scenario}. Runs scenario files and prints one line per result. */
public final class ScenarioMain {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Parameter(description = "FILE...")
  private List<String> files = new ArrayList<>();

  @Parameter(
      names = "--without",
      description = "runs with the naive version of the mechanism that each file names")
  private boolean isWithoutMechanism;

  @Parameter(
      names = "--work-folder",
      description = "folder for the settings and output of the processes")
  private String workFolder = "";

  @Parameter(names = "--help", help = true, description = "shows the options")
  private boolean isHelp;

  private ScenarioMain() {}

  /**
   * Runs the given scenario files. Exits with 0 if all pass, 1 if one fails and 2 if the arguments
   * are invalid.
   *
   * @param arguments the options and the paths of the scenario files
   * @throws IOException if a scenario file or the work folder is not accessible
   */
  public static void main(String[] arguments) throws IOException {
    ScenarioMain program = new ScenarioMain();
    JCommander parser =
        JCommander.newBuilder().programName("galenapost-scenario").addObject(program).build();
    try {
      parser.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
    if (program.isHelp || program.files.isEmpty()) {
      parser.usage();
      return;
    }
    System.exit(program.runAll());
  }

  private int runAll() throws IOException {
    ScenarioRunner runner = new ScenarioRunner(resolveWorkFolder());
    int exitCode = 0;
    for (String file : files) {
      Scenario scenario = ScenarioReader.read(Path.of(file));
      ScenarioResult result =
          isWithoutMechanism ? runner.runWithoutMechanism(scenario) : runner.run(scenario);
      System.out.println(result.toLogLine());
      exitCode = result.hasPassed() ? exitCode : EXIT_FAILED;
    }
    return exitCode;
  }

  private Path resolveWorkFolder() throws IOException {
    return workFolder.isEmpty()
        ? Files.createTempDirectory("galenapost-scenario")
        : Path.of(workFolder);
  }
}
