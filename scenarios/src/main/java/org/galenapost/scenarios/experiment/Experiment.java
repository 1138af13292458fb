package org.galenapost.scenarios.experiment;

import java.util.List;
import java.util.Optional;
import org.galenapost.scenarios.language.FleetSpec;

/**
 * One experiment: every variant is run against every failure with every seed.
 *
 * @param name the name, equal to the file name
 * @param workload the path of the workload file, relative to the experiment file
 * @param durationMs the time in milliseconds during which requests arrive in each run
 * @param seeds the workload seeds, one run each
 * @param fleet the daemons, engines and services to start
 * @param variants the compared variants of the system
 * @param failures the failures, one of which is injected in each run
 */
public record Experiment(
    String name,
    String workload,
    long durationMs,
    List<Long> seeds,
    FleetSpec fleet,
    List<Variant> variants,
    List<Failure> failures) {

  /**
   * One variant of the system.
   *
   * @param name the name in the table
   * @param without the mechanism to replace by a naive implementation, if any
   * @param recovery the recovery policy that overrides the one of every profile, if any
   * @param rateFactor the factor applied to the arrival rates of the workload; 1 if absent
   */
  public record Variant(
      String name,
      Optional<String> without,
      Optional<String> recovery,
      Optional<Double> rateFactor) {}

  /**
   * A failure injected during a run.
   *
   * @param name the name in the table
   * @param events the events, ordered by time
   */
  public record Failure(String name, List<Event> events) {}

  /**
   * One event of a failure.
   *
   * @param atMs the time in milliseconds since the start of the workload
   * @param action {@code kill}, {@code freeze}, {@code thaw}, {@code start} or the name of a fault
   *     switch of the stand-in
   * @param process the name of the process
   * @param body the JSON body of the switch request, if any
   */
  public record Event(long atMs, String action, String process, Optional<String> body) {}
}
