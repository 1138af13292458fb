package org.galenapost.standins.platform;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.galenapost.standins.Standin;
import org.galenapost.standins.StandinCommand;

/** The subcommand that starts the platform, with its options. */
@Parameters(commandDescription = "serves the platform's object API")
public final class PlatformCommand extends StandinCommand {

  @Parameter(names = "--history", description = "number of changes kept for watches")
  private int maxHistoryChanges = 10_000;

  @Parameter(names = "--writes-per-second", description = "rate limit of writes; 0 for none")
  private double writesPerSecond;

  @Parameter(names = "--reads-per-second", description = "rate limit of reads; 0 for none")
  private double readsPerSecond;

  @Override
  public String role() {
    return "platform";
  }

  @Override
  public Standin create() {
    PlatformStandin platform = new PlatformStandin(port, maxHistoryChanges);
    platform.setRateLimits(writesPerSecond, readsPerSecond);
    return platform;
  }
}
