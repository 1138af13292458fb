package org.galenapost.daemon;

import com.beust.jcommander.Parameter;

/** The command line of {@code galenapostd}. */
final class Arguments {

  @Parameter(names = "--settings", description = "The YAML settings file", required = true)
  private String settings;

  @Parameter(names = "--check", description = "Check the settings file and exit")
  private boolean isCheck;

  @Parameter(
      names = {"--help", "-h"},
      description = "Print this help and exit",
      help = true)
  private boolean isHelp;

  String settings() {
    return settings;
  }

  boolean isCheck() {
    return isCheck;
  }

  boolean isHelp() {
    return isHelp;
  }
}
