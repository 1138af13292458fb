package org.galenapost.scenarios.soak;

import java.nio.file.Path;
import java.time.Duration;

/**
 * The options of a soak.
 *
 * @param seed selects the actions and their times; the timing of the processes still varies
 * @param rounds the number of rounds, each of overlapping faults, a settle time and planned
 *     operations
 * @param daemons the number of daemons
 * @param callers the number of callers
 * @param folder the directory for settings and log files
 */
public record SoakOptions(long seed, int rounds, int daemons, int callers, Path folder) {

  /** The duration of the phase of mixed answers, which begins each round. */
  static final Duration MIXED_ANSWERS_PHASE = Duration.ofSeconds(4);

  /** The duration of the fault phase of each round. */
  static final Duration FAULT_PHASE = Duration.ofSeconds(7);

  /** The duration of the phase of planned operations, which follows the settle time. */
  static final Duration PLANNED_WORK_PHASE = Duration.ofSeconds(7);

  /** Returns the options of a soak with 3 daemons and 10 callers. */
  public static SoakOptions withDefaultSize(long seed, int rounds, Path folder) {
    return new SoakOptions(seed, rounds, 3, 10, folder);
  }
}
