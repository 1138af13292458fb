package org.galenapost.cli;

import java.util.List;

/**
 * The reason why a command failed.
 *
 * @param exitCode the exit code of the process
 * @param lines the lines printed on the error output
 */
public record CommandFailure(ExitCode exitCode, List<String> lines) {

  /** Takes a defensive copy of the lines. */
  public CommandFailure {
    lines = List.copyOf(lines);
  }

  /** Returns the failure for an invalid command line or object file. */
  public static CommandFailure usageError(List<String> faults) {
    return new CommandFailure(ExitCode.USAGE, faults);
  }

  /** Returns the failure for an option with an invalid value. */
  public static CommandFailure invalidOption(String option, String expected, String found) {
    return usageError(List.of(option + ": expected " + expected + ", but found '" + found + "'"));
  }

  /** Returns the failure for a daemon that could not be reached, so that nothing was changed. */
  public static CommandFailure unreachable(DaemonAddress daemon, String detail) {
    return new CommandFailure(
        ExitCode.UNREACHABLE, List.of("daemon " + daemon + " cannot be reached: " + detail));
  }

  /** Returns the failure for a change whose response was lost, so that it may have been applied. */
  public static CommandFailure outcomeUnknown(DaemonAddress daemon, String detail) {
    return new CommandFailure(
        ExitCode.OUTCOME_UNKNOWN,
        List.of(
            "daemon " + daemon + " did not respond: " + detail,
            "the change may have been applied; check it with 'show' before retrying"));
  }

  /** Returns the failure for a request that the daemon refused. */
  public static CommandFailure refused(String reason) {
    return new CommandFailure(ExitCode.REFUSED, List.of(reason));
  }

  /** Returns the failure for a wait that timed out. */
  public static CommandFailure waitTimedOut(List<String> lines) {
    return new CommandFailure(ExitCode.WAIT_TIMED_OUT, lines);
  }
}
