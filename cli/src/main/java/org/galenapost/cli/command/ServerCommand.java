package org.galenapost.cli.command;

import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.cli.Table;
import org.galenapost.core.configuration.ConfigurationKind;

/** Does what {@link ObjectCommand} does, and takes backend servers out of service and back. */
@Parameters(
    commandDescription = "list | show ID | apply -f FILE | delete ID | drain ID | return ID")
public final class ServerCommand extends ObjectCommand {

  private static final String NO_BODY = "{}";

  /** Creates the command. */
  public ServerCommand() {
    super(ConfigurationKind.SERVER);
  }

  @Override
  Either<CommandFailure, Invocation> prepare(CommandArguments given) {
    if (given.isAction("drain", 1) || given.isAction("return", 1)) {
      return Either.right((client, output) -> change(given, client, output));
    }
    return super.prepare(given);
  }

  private static Either<CommandFailure, Void> change(
      CommandArguments given, OperatorClient client, Output output) {
    String action = given.positionals().get(0);
    String id = given.argument(0);
    return client
        .post("/v1/servers/" + OperatorClient.urlEncode(id) + "/" + action, NO_BODY)
        .peek(document -> output.print(document, summary(id, action)))
        .map(document -> null);
  }

  private static Table summary(String id, String action) {
    return new Table(List.of("SERVER", "ACCEPTED"), List.of(List.of(id, action)));
  }
}
