package org.galenapost.daemon.gateway;

import com.beust.jcommander.Parameter;

/** Command-line options of the gateway. */
final class GatewayArguments {

  @Parameter(names = "--settings", description = "The YAML settings file")
  private String settings = "";

  @Parameter(names = "--check", description = "Check the settings file and exit")
  private boolean isCheck;

  @Parameter(
      names = "--rehearse",
      description = "Make a training run on loopback to record a class data archive, and exit")
  private boolean isTrainingRun;

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

  boolean isTrainingRun() {
    return isTrainingRun;
  }

  boolean isHelp() {
    return isHelp;
  }
}
