package org.galenapost.standins.link;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.galenapost.standins.Standin;
import org.galenapost.standins.StandinCommand;
import org.galenapost.standins.relay.SocketAddresses;

/** The subcommand that starts a link, with its options. */
@Parameters(commandDescription = "relays TCP connections and injects network faults")
public final class LinkCommand extends StandinCommand {

  @Parameter(
      names = "--target",
      required = true,
      description = "target of the connections, as IP:PORT")
  private String target;

  @Parameter(
      names = "--control-port",
      description = "port of the requests that set faults; 0 takes a free one")
  private int controlPort;

  @Override
  public String role() {
    return "link";
  }

  @Override
  public Standin create() {
    try {
      return new LinkStandin(port, controlPort, SocketAddresses.parseLoopback(target));
    } catch (IllegalArgumentException e) {
      throw new ParameterException(e.getMessage());
    }
  }
}
