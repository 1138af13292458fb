package org.galenapost.daemon.gateway;

import com.beust.jcommander.Parameter;

/** The command line of the gateway. */
final class GatewayArguments {

  @Parameter(names = "--settings", description = "The YAML settings file")
  private String settings = "";

  @Parameter(names = "--check", description = "Check the settings file and exit")
  private boolean isCheck;

  @Parameter(
      names = "--rehearse",
      description = "Start and stop on loopback, to record classes for a faster start, and exit")
  private boolean isRehearsal;

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

  boolean isRehearsal() {
    return isRehearsal;
  }

  boolean isHelp() {
    return isHelp;
  }
}
