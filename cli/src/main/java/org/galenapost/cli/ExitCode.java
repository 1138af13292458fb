package org.galenapost.cli;

/** The exit codes of the command-line tool. */
public enum ExitCode {
  OK(0),
  REFUSED(1),
  USAGE(2),
  UNREACHABLE(3),
  WAIT_TIMED_OUT(4),
  OUTCOME_UNKNOWN(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit status of the process. */
  public int code() {
    return code;
  }
}
