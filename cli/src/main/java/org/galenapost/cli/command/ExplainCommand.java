package org.galenapost.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.cli.Table;

/** Tells what a daemon decided about one request, and why. */
@Parameters(commandDescription = "the decisions about one request: explain REQUEST_ID")
public final class ExplainCommand implements Command {

  @Parameter(description = "REQUEST_ID")
  private List<String> positionals = new ArrayList<>();

  @Override
  public Either<CommandFailure, Invocation> prepare() {
    if (positionals.size() != 1) {
      return new CommandArguments("explain", "REQUEST_ID", positionals).usageError();
    }
    String path = "/v1/explain/" + OperatorClient.urlEncode(positionals.get(0));
    return Either.right((client, output) -> show(client, output, path));
  }

  private static Either<CommandFailure, Void> show(
      OperatorClient client, Output output, String path) {
    return client
        .getDocument(path)
        .peek(
            trace -> {
              output.printText("request " + Table.text(trace.path("request_id")));
              output.printText("started " + Table.text(trace.path("started_at")));
              output.printText("outcome " + outcome(trace.path("outcome")));
              output.print(trace, Table.ofObjects(trace.path("decisions")));
            })
        .map(trace -> null);
  }

  private static String outcome(JsonNode outcome) {
    if (!outcome.isObject()) {
      return "in progress";
    }
    List<String> parts = new ArrayList<>();
    outcome
        .properties()
        .forEach(field -> parts.add(field.getKey() + "=" + Table.text(field.getValue())));
    return String.join(" ", parts);
  }
}
