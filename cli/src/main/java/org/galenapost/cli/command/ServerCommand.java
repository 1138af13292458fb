package org.galenapost.cli.command;

import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.cli.Table;
import org.galenapost.core.configuration.ConfigurationKind;

/** The command for backend servers: adds draining and returning to {@link ObjectCommand}. */
@Parameters(
    commandDescription = "list | show ID | apply -f FILE | delete ID | drain ID | return ID")
public final class ServerCommand extends ObjectCommand {

  private static final String EMPTY_OBJECT = "{}";

  /** Creates the command for backend servers. */
  public ServerCommand() {
    super(ConfigurationKind.SERVER);
  }

  @Override
  Either<CommandFailure, Invocation> prepare(CommandArguments arguments) {
    if (arguments.isAction("drain", 1) || arguments.isAction("return", 1)) {
      return Either.right((client, output) -> changeState(arguments, client, output));
    }
    return super.prepare(arguments);
  }

  private static Either<CommandFailure, Void> changeState(
      CommandArguments arguments, OperatorClient client, Output output) {
    String action = arguments.positionals().get(0);
    String id = arguments.argument(0);
    return client
        .post("/v1/servers/" + OperatorClient.urlEncode(id) + "/" + action, EMPTY_OBJECT)
        .peek(document -> output.print(document, summary(id, action)))
        .map(document -> null);
  }

  private static Table summary(String id, String action) {
    return new Table(List.of("SERVER", "ACCEPTED"), List.of(List.of(id, action)));
  }
}
