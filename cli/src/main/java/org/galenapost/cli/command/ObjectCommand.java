package org.galenapost.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.DaemonResponse;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;
import org.galenapost.core.configuration.ConfigurationKind;

/** The command that lists, shows, writes and deletes configuration objects of one kind. */
@Parameters(
    commandDescription =
        "list | show NAME | apply -f FILE [--wait] | delete NAME --expected-version N")
public class ObjectCommand implements Command {

  private static final String USAGE = "list | show NAME | apply -f FILE | delete NAME";
  private static final long UNSET = -1;

  private final ConfigurationKind kind;

  @Parameter(description = USAGE)
  private List<String> positionals = new ArrayList<>();

  @Parameter(names = "--expected-version", description = "the version that delete expects")
  private long expectedVersion = UNSET;

  @ParametersDelegate private ApplyOptions options = new ApplyOptions();

  /** Creates the command for one kind of object. */
  public ObjectCommand(ConfigurationKind kind) {
    this.kind = kind;
  }

  @Override
  public Either<CommandFailure, Invocation> prepare() {
    return prepare(new CommandArguments(kind.wireName(), USAGE, positionals));
  }

  /** Validates the arguments. Subclasses override this to add actions. */
  Either<CommandFailure, Invocation> prepare(CommandArguments arguments) {
    if (arguments.isAction("list", 0)) {
      String path = "/v1/config/" + kind.wireName();
      return Either.right((client, output) -> ListPrinter.print(client, output, path));
    }
    if (arguments.isAction("show", 1)) {
      return Either.right((client, output) -> show(arguments.argument(0), client, output));
    }
    if (arguments.isAction("apply", 0)) {
      return prepareApply();
    }
    if (arguments.isAction("delete", 1)) {
      return Either.right((client, output) -> delete(arguments.argument(0), client, output));
    }
    return arguments.usageError();
  }

  private Either<CommandFailure, Invocation> prepareApply() {
    return options
        .read()
        .flatMap(this::requireSameKind)
        .map(specs -> (client, output) -> options.apply(specs, client, output));
  }

  private Either<CommandFailure, List<ObjectSpec>> requireSameKind(List<ObjectSpec> specs) {
    List<String> faults =
        specs.stream()
            .filter(spec -> spec.kind() != kind)
            .map(
                spec -> spec.label() + ": expected a " + kind.wireName() + "; use galenapost apply")
            .toList();
    return faults.isEmpty() ? Either.right(specs) : Either.left(CommandFailure.usageError(faults));
  }

  private Either<CommandFailure, Void> show(String name, OperatorClient client, Output output) {
    return client
        .getDocument(ObjectSpec.path(kind, name))
        .peek(output::printJson)
        .map(document -> null);
  }

  private Either<CommandFailure, Void> delete(String name, OperatorClient client, Output output) {
    String label = kind.wireName() + " " + name;
    return versionToDelete(name, client)
        .flatMap(
            version -> client.delete(ObjectSpec.path(kind, name) + "?expected_version=" + version))
        .flatMap(
            response ->
                response.isSuccess()
                    ? Either.<CommandFailure, DaemonResponse>right(response)
                    : Either.left(Applier.refusal(label, response)))
        .peek(response -> output.printJsonOrText(response.document(), label + " deleted"))
        .map(response -> null);
  }

  private Either<CommandFailure, Long> versionToDelete(String name, OperatorClient client) {
    return expectedVersion == UNSET
        ? client
            .getDocument(ObjectSpec.path(kind, name))
            .map(document -> document.path("version").asLong())
        : Either.right(expectedVersion);
  }
}
