package org.galenapost.standins.balancer;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.standins.Standin;
import org.galenapost.standins.StandinCommand;

/** The subcommand that starts the load balancer. */
@Parameters(commandDescription = "distributes TCP connections over the ready daemons")
public final class BalancerCommand extends StandinCommand {

  @Parameter(names = "--target", description = "IP:PORT@HEALTH_PORT of a daemon; may be repeated")
  private List<String> targets = new ArrayList<>();

  @Parameter(
      names = "--control-port",
      description = "port that shows and sets the targets; 0 selects a free one")
  private int controlPort;

  @Override
  public String role() {
    return "balancer";
  }

  @Override
  public Standin create() {
    try {
      List<BalancedTarget> parsed = targets.stream().map(BalancedTarget::parse).toList();
      return new BalancerStandin(port, controlPort, parsed);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(e.getMessage());
    }
  }
}
