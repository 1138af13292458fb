package org.galenapost.standins.platform;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.galenapost.standins.Standin;
import org.galenapost.standins.StandinCommand;

/** Options of the platform. */
@Parameters(commandDescription = "serves the platform's object API")
public final class PlatformCommand extends StandinCommand {

  @Parameter(names = "--history", description = "changes remembered for watches")
  private int maxHistoryChanges = 10_000;

  @Parameter(names = "--writes-per-second", description = "rate of writes; 0 has no limit")
  private double writesPerSecond;

  @Parameter(names = "--reads-per-second", description = "rate of reads; 0 has no limit")
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
