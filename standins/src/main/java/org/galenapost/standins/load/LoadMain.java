package org.galenapost.standins.load;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import org.galenapost.standins.json.Json;

/**
 * The program {@code galenapost-load}. It exits with 0 if all answers and action runs were correct,
 * with 1 if not, and with 2 if the options or the workload are invalid.
 */
public final class LoadMain {

  private static final int EXIT_INCORRECT = 1;
  private static final int EXIT_USAGE = 2;

  private LoadMain() {}

  /** Runs the workload given by the arguments and prints the report. */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    LoadOptions options = new LoadOptions();
    JCommander parser =
        JCommander.newBuilder().programName("galenapost-load").addObject(options).build();
    try {
      parser.parse(arguments);
    } catch (ParameterException e) {
      exitWithErrors(List.of(e.getMessage()));
    }
    if (options.isHelp()) {
      parser.usage();
      return;
    }
    Workload workload =
        options.applyTo(
            WorkloadFile.read(options.workload()).getOrElseGet(LoadMain::exitWithErrors));
    if (!workload.validationErrors().isEmpty()) {
      exitWithErrors(workload.validationErrors());
    }
    LoadRunner.LoadRun run = new LoadRunner(workload).run();
    write(run, options);
    System.exit(run.report().isCorrect() ? 0 : EXIT_INCORRECT);
  }

  private static void write(LoadRunner.LoadRun run, LoadOptions options) throws IOException {
    System.out.print(ReportTable.of(run.report()));
    if (options.output() != null) {
      Files.writeString(options.output(), Json.write(run.report()) + "\n");
    }
    if (options.plot() != null) {
      ReportPlot.write(run, options.plot());
    }
  }

  private static Workload exitWithErrors(List<String> errors) {
    errors.forEach(System.err::println);
    System.exit(EXIT_USAGE);
    throw new IllegalStateException("System.exit returned");
  }
}
