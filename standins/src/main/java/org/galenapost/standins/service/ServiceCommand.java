package org.galenapost.standins.service;

import com.beust.jcommander.Parameters;
import org.galenapost.standins.Standin;
import org.galenapost.standins.StandinCommand;

/** The subcommand that starts the plain service. */
@Parameters(commandDescription = "starts a plain service that echoes calls and counts runs")
public final class ServiceCommand extends StandinCommand {

  private static final int EXIT_CRASH = 134; // 128 + SIGABRT

  @Override
  public String role() {
    return "service";
  }

  @Override
  public Standin create() {
    return new ServiceStandin(port, () -> Runtime.getRuntime().halt(EXIT_CRASH));
  }
}
