package org.galenapost.daemon;

/** The exit codes of the daemon's programs. */
public final class ExitCode {

  /** It ended as asked. */
  public static final int SUCCESS = 0;

  /** It could not start. */
  public static final int START_FAILED = 1;

  /** The command line or the settings file is faulty. */
  public static final int USAGE = 2;

  private ExitCode() {}
}
