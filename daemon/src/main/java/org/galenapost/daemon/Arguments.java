package org.galenapost.daemon;

import com.beust.jcommander.Parameter;

/** The command line of the daemon's programs. */
public final class Arguments {

  @Parameter(names = "--settings", description = "The YAML settings file", required = true)
  private String settings;

  @Parameter(names = "--check", description = "Check the settings file and exit")
  private boolean isCheck;

  @Parameter(
      names = {"--help", "-h"},
      description = "Print this help and exit",
      help = true)
  private boolean isHelp;

  /** Returns the path of the settings file. */
  public String settings() {
    return settings;
  }

  /** Returns whether the settings file is only to be checked. */
  public boolean isCheck() {
    return isCheck;
  }

  /** Returns whether help is asked for. */
  public boolean isHelp() {
    return isHelp;
  }
}
