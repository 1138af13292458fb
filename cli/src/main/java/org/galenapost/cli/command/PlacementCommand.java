package org.galenapost.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.cli.Table;
import org.galenapost.core.configuration.ConfigurationKind;

/**
 * The command for placements. With a host and a path it prints where a gateway would send such a
 * call now, and why; nothing is sent to any server.
 */
@Parameters(
    commandDescription =
        "where a gateway would send a call: --host H --path P [--key K] [--prompt-tokens N]"
            + " [--output-tokens N] [--parts ID:N,...]; or list | show NAME | apply -f FILE"
            + " | delete NAME")
public final class PlacementCommand extends ObjectCommand {

  @Parameter(names = "--host", description = "the host that the call addresses")
  private String host;

  @Parameter(names = "--path", description = "the path of the call")
  private String path;

  @Parameter(names = "--key", description = "the caller's key")
  private String key;

  @Parameter(names = "--prompt-tokens", description = "the tokens of the prompt")
  private Long promptTokens;

  @Parameter(names = "--output-tokens", description = "the maximum number of generated tokens")
  private Long outputTokens;

  @Parameter(names = "--parts", description = "the parts of the prompt, ID:TOKENS,...")
  private String parts;

  /** Creates the command. */
  public PlacementCommand() {
    super(ConfigurationKind.PLACEMENT);
  }

  @Override
  Either<CommandFailure, Invocation> prepare(CommandArguments arguments) {
    Map<String, Object> parameters = parameters();
    if (parameters.isEmpty()) {
      return super.prepare(arguments);
    }
    if (!arguments.positionals().isEmpty() || host == null || path == null) {
      return new CommandArguments("placement", "--host H --path P", arguments.positionals())
          .usageError();
    }
    String query =
        parameters.entrySet().stream()
            .map(
                parameter ->
                    parameter.getKey()
                        + "="
                        + OperatorClient.urlEncode(parameter.getValue().toString()))
            .collect(Collectors.joining("&"));
    return Either.right((client, output) -> explain(client, output, "/placement?" + query));
  }

  private Map<String, Object> parameters() {
    Map<String, Object> parameters = new LinkedHashMap<>();
    parameters.put("host", host);
    parameters.put("path", path);
    parameters.put("key", key);
    parameters.put("prompt_tokens", promptTokens);
    parameters.put("output_tokens", outputTokens);
    parameters.put("parts", parts);
    parameters.values().removeIf(value -> value == null);
    return parameters;
  }

  private static Either<CommandFailure, Void> explain(
      OperatorClient client, Output output, String query) {
    return client
        .getDocument(query)
        .peek(
            document -> {
              for (String field : new String[] {"route", "service", "workspace", "chosen"}) {
                printField(output, document, field);
              }
              printField(output, document, "is_due_to_held_prompt");
              printField(output, document, "refusal");
              printField(output, document, "retry_after_ms");
              printField(output, document, "use_age_ms");
              output.print(document, Table.ofObjects(document.path("candidates")));
            })
        .map(document -> null);
  }

  private static void printField(Output output, JsonNode document, String field) {
    output.printText(field + " " + Table.text(document.path(field)));
  }
}
