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

/** Lists, shows, writes and deletes the objects of one kind. */
@Parameters(
    commandDescription =
        "list | show NAME | apply -f FILE [--wait] | delete NAME --expected-version N")
public class ObjectCommand implements Command {

  private static final String USAGE = "list | show NAME | apply -f FILE | delete NAME";
  private static final long UNSET = -1;

  private final ConfigurationKind kind;

  @Parameter(description = USAGE)
  private List<String> positionals = new ArrayList<>();

  @Parameter(names = "--expected-version", description = "the version that delete removes")
  private long expectedVersion = UNSET;

  @ParametersDelegate private ApplyOptions options = new ApplyOptions();

  /** Creates the command of one kind. */
  public ObjectCommand(ConfigurationKind kind) {
    this.kind = kind;
  }

  @Override
  public Either<CommandFailure, Invocation> prepare() {
    return prepare(new CommandArguments(kind.wireName(), USAGE, positionals));
  }

  /** Checks the words; subclasses add actions of their kind. */
  Either<CommandFailure, Invocation> prepare(CommandArguments given) {
    if (given.isAction("list", 0)) {
      String path = "/v1/config/" + kind.wireName();
      return Either.right((client, output) -> ListPrinter.print(client, output, path));
    }
    if (given.isAction("show", 1)) {
      return Either.right((client, output) -> show(given.argument(0), client, output));
    }
    if (given.isAction("apply", 0)) {
      return prepareApply();
    }
    if (given.isAction("delete", 1)) {
      return Either.right((client, output) -> delete(given.argument(0), client, output));
    }
    return given.usageError();
  }

  private Either<CommandFailure, Invocation> prepareApply() {
    return options
        .read()
        .flatMap(this::ofThisKind)
        .map(specs -> (client, output) -> options.apply(specs, client, output));
  }

  private Either<CommandFailure, List<ObjectSpec>> ofThisKind(List<ObjectSpec> specs) {
    List<String> others =
        specs.stream()
            .filter(spec -> spec.kind() != kind)
            .map(
                spec -> spec.label() + ": expected a " + kind.wireName() + "; use galenapost apply")
            .toList();
    return others.isEmpty() ? Either.right(specs) : Either.left(CommandFailure.usageError(others));
  }

  private Either<CommandFailure, Void> show(String name, OperatorClient client, Output output) {
    return client.getDocument(ObjectSpec.path(kind, name)).peek(output::printJson).map(document -> null);
  }

  private Either<CommandFailure, Void> delete(String name, OperatorClient client, Output output) {
    String label = kind.wireName() + " " + name;
    return versionToDelete(name, client)
        .flatMap(
            version -> client.delete(ObjectSpec.path(kind, name) + "?expected_version=" + version))
        .flatMap(
            answer ->
                answer.isSuccess()
                    ? Either.<CommandFailure, DaemonResponse>right(answer)
                    : Either.left(Applier.refusal(label, answer)))
        .peek(answer -> output.printJsonOrText(answer.document(), label + " deleted"))
        .map(answer -> null);
  }

  private Either<CommandFailure, Long> versionToDelete(String name, OperatorClient client) {
    return expectedVersion == UNSET
        ? client
            .getDocument(ObjectSpec.path(kind, name))
            .map(document -> document.path("version").asLong())
        : Either.right(expectedVersion);
  }
}
