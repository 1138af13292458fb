package org.galenapost.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.core.json.Json;

/** Lists claims without an outcome and settles them. */
@Parameters(
    commandDescription = "claims without an outcome: list | settle WORKSPACE KEY ran|not-run")
public final class ActionCommand implements Command {

  private static final String USAGE = "list | settle WORKSPACE KEY ran|not-run";
  private static final List<String> OUTCOMES = List.of("ran", "not-run");

  @Parameter(description = USAGE)
  private List<String> positionals = new ArrayList<>();

  @Override
  public Either<CommandFailure, Invocation> prepare() {
    CommandArguments given = new CommandArguments("action", USAGE, positionals);
    if (given.isAction("list", 0)) {
      return Either.right(
          (client, output) -> ListPrinter.print(client, output, "/v1/actions?state=open"));
    }
    if (given.isAction("settle", 3) && OUTCOMES.contains(given.argument(2))) {
      return Either.right((client, output) -> settle(given, client, output));
    }
    return given.usageError();
  }

  private static Either<CommandFailure, Void> settle(
      CommandArguments given, OperatorClient client, Output output) {
    String path =
        "/v1/actions/%s/%s/settle"
            .formatted(
                OperatorClient.urlEncode(given.argument(0)), OperatorClient.urlEncode(given.argument(1)));
    return client
        .post(path, Json.write(new Settlement(given.argument(2))))
        .peek(document -> output.printJsonOrText(document, "settled as " + given.argument(2)))
        .map(document -> null);
  }

  private record Settlement(String outcome) {}
}
