package org.galenapost.cli;

import java.util.List;

/**
 * Says why a command did not do what it was asked to.
 *
 * @param exitCode the exit code
 * @param lines what the operator reads on the error output
 */
public record CommandFailure(ExitCode exitCode, List<String> lines) {

  /** Copies the lines. */
  public CommandFailure {
    lines = List.copyOf(lines);
  }

  /** Returns the failure of a command line or a file that is faulty. */
  public static CommandFailure usageError(List<String> faults) {
    return new CommandFailure(ExitCode.USAGE, faults);
  }

  /** Returns the failure of a faulty option. */
  public static CommandFailure invalidOption(String option, String expected, String found) {
    return usageError(List.of(option + ": expected " + expected + ", but found '" + found + "'"));
  }

  /** Returns the failure to reach the daemon before anything was sent. */
  public static CommandFailure unreachable(DaemonAddress daemon, String detail) {
    return new CommandFailure(
        ExitCode.UNREACHABLE, List.of("daemon " + daemon + " cannot be reached: " + detail));
  }

  /** Returns the failure of a change whose answer was lost. */
  public static CommandFailure outcomeUnknown(DaemonAddress daemon, String detail) {
    return new CommandFailure(
        ExitCode.OUTCOME_UNKNOWN,
        List.of(
            "daemon " + daemon + " gave no answer: " + detail,
            "the change may have been made; look at it with 'show' before you repeat it"));
  }

  /** Returns the failure of a request that the daemon refused. */
  public static CommandFailure refused(String what) {
    return new CommandFailure(ExitCode.REFUSED, List.of(what));
  }

  /** Returns the failure of a wait that took too long. */
  public static CommandFailure waitTimedOut(List<String> lines) {
    return new CommandFailure(ExitCode.WAIT_TIMED_OUT, lines);
  }
}
