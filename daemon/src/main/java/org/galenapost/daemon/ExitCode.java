package org.galenapost.daemon;

/** The exit codes of the daemon's programs. */
public final class ExitCode {

  /** The program finished without an error. */
  public static final int SUCCESS = 0;

  /** The daemon could not start. */
  public static final int START_FAILED = 1;

  /** The command line or the settings file is invalid. */
  public static final int USAGE = 2;

  private ExitCode() {}
}
