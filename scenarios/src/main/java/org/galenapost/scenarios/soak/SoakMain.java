package org.galenapost.scenarios.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs soaks from the command line; exits with status 1 if a guarantee was violated. */
public final class SoakMain {

  private static final int EXIT_VIOLATED = 1;
  private static final int EXIT_USAGE = 2;

  @Parameter(names = "--seed", description = "the first seed")
  private long seed = 1;

  @Parameter(
      names = "--seeds",
      description = "number of consecutive seeds, each run with its own processes")
  private int seeds = 1;

  @Parameter(names = "--lanes", description = "number of seeds to run in parallel")
  private int lanes = 1;

  @Parameter(
      names = "--rounds",
      description = "rounds of faults and planned operations, about 25 s each")
  private int rounds = 2;

  @Parameter(names = "--daemons", description = "number of daemons per soak")
  private int daemons = 3;

  @Parameter(names = "--callers", description = "number of callers per soak")
  private int callers = 10;

  @Parameter(names = "--folder", description = "directory for settings and log files")
  private String folder = "target/soak";

  @Parameter(names = "--help", help = true)
  private boolean isHelp;

  private SoakMain() {}

  /** Runs the soaks selected by the command-line options. */
  public static void main(String... args) throws InterruptedException {
    SoakMain main = new SoakMain();
    JCommander commander =
        JCommander.newBuilder().programName("galenapost-soak").addObject(main).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("galenapost-soak: " + e.getMessage());
      System.exit(EXIT_USAGE);
    }
    if (main.isHelp) {
      commander.usage();
      return;
    }
    System.exit(main.runAll() ? 0 : EXIT_VIOLATED);
  }

  private boolean runAll() throws InterruptedException {
    ExecutorService executor = Executors.newFixedThreadPool(lanes);
    List<Future<SoakResult>> results = new ArrayList<>();
    for (long next = seed; next < seed + seeds; next++) {
      SoakOptions options = new SoakOptions(next, rounds, daemons, callers, Path.of(folder));
      results.add(executor.submit(() -> GatewaySoak.run(options)));
    }
    boolean havePassed = true;
    for (Future<SoakResult> future : results) {
      try {
        SoakResult result = future.get();
        System.out.println(result.line());
        result.violations().forEach(violation -> System.out.println("  " + violation));
        havePassed &= result.hasPassed();
      } catch (ExecutionException e) {
        System.out.println("a soak could not be run: " + e.getCause());
        havePassed = false;
      }
    }
    executor.shutdown();
    return havePassed;
  }
}
