package org.galenapost.scenarios.soak;

import java.nio.file.Path;
import java.time.Duration;

/**
 * What a soak does.
 *
 * @param seed decides what happens when, as far as the processes' own timing lets it
 * @param rounds the rounds, each of faults that overlap, a calm time, and planned work in it
 * @param daemons the daemons
 * @param callers the callers
 * @param folder takes settings and logs
 */
public record SoakOptions(long seed, int rounds, int daemons, int callers, Path folder) {

  /** The time for faults of one round. */
  static final Duration FAULT_PHASE = Duration.ofSeconds(7);

  /** The time for planned work of one round, after everything has settled. */
  static final Duration PLANNED_WORK_PHASE = Duration.ofSeconds(7);

  /** Returns the usual size. */
  public static SoakOptions withDefaultSize(long seed, int rounds, Path folder) {
    return new SoakOptions(seed, rounds, 3, 10, folder);
  }
}
