package org.galenapost.cli.command;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.cli.Table;

/** Shows the state of one daemon and the backend servers that it knows. */
@Parameters(commandDescription = "state of the daemon, its peers and its backend servers")
public final class StatusCommand implements Command {

  private static final String PEERS = "peers";
  private static final String SERVERS = "servers";

  @Override
  public Either<CommandFailure, Invocation> prepare() {
    return Either.right(StatusCommand::show);
  }

  private static Either<CommandFailure, Void> show(OperatorClient client, Output output) {
    return client
        .getDocument("/v1/status")
        .peek(
            status -> {
              output.print(status, summary(status));
              showTable(status.path(PEERS), output);
              showTable(status.path(SERVERS), output);
            })
        .map(status -> null);
  }

  private static void showTable(JsonNode rows, Output output) {
    if (!rows.isEmpty()) {
      output.printText("");
      Table.ofObjects(rows).lines().forEach(output::printText);
    }
  }

  private static Table summary(JsonNode status) {
    ObjectNode flat = status.deepCopy();
    flat.remove(List.of(PEERS, SERVERS));
    return Table.ofObjects(List.of(flat));
  }
}
