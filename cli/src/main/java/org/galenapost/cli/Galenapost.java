package org.galenapost.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.galenapost.cli.command.ActionCommand;
import org.galenapost.cli.command.ApplyCommand;
import org.galenapost.cli.command.Command;
import org.galenapost.cli.command.ExplainCommand;
import org.galenapost.cli.command.ObjectCommand;
import org.galenapost.cli.command.OrderCommand;
import org.galenapost.cli.command.PlacementCommand;
import org.galenapost.cli.command.ServerCommand;
import org.galenapost.cli.command.StatusCommand;
import org.galenapost.core.configuration.ConfigurationKind;

/** The command-line tool for operators. */
public final class Galenapost {

  private static final String PROGRAM = "galenapost";

  private final ConnectionOptions connection = new ConnectionOptions();
  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final PrintStream out;
  private final PrintStream errors;
  private final UnaryOperator<String> environment;

  /**
   * Creates the tool.
   *
   * @param out receives the output of commands
   * @param errors receives error messages
   * @param environment returns the value of an environment variable, or null
   */
  Galenapost(PrintStream out, PrintStream errors, UnaryOperator<String> environment) {
    this.out = out;
    this.errors = errors;
    this.environment = environment;
    commands.put("status", new StatusCommand());
    commands.put("profile", new ObjectCommand(ConfigurationKind.PROFILE));
    commands.put("workspace", new ObjectCommand(ConfigurationKind.WORKSPACE));
    commands.put("server", new ServerCommand());
    commands.put("model", new ObjectCommand(ConfigurationKind.MODEL));
    commands.put("placement", new PlacementCommand());
    commands.put("action", new ActionCommand());
    commands.put("order", new OrderCommand());
    commands.put("explain", new ExplainCommand());
    commands.put("apply", new ApplyCommand());
  }

  /** Runs one command and exits with its exit code. */
  public static void main(String[] arguments) {
    ExitCode code = new Galenapost(System.out, System.err, System::getenv).run(arguments);
    System.exit(code.code());
  }

  /** Runs one command and returns its exit code. */
  ExitCode run(String... arguments) {
    GlobalOptions global = new GlobalOptions(connection);
    JCommander parser = newParser(global);
    try {
      parser.parse(arguments);
    } catch (ParameterException e) {
      return fail(CommandFailure.usageError(List.of(e.getMessage(), "see " + PROGRAM + " --help")));
    }
    if (global.isHelp || parser.getParsedCommand() == null) {
      StringBuilder text = new StringBuilder();
      parser.getUsageFormatter().usage(text);
      (global.isHelp ? out : errors).println(text);
      return global.isHelp ? ExitCode.OK : ExitCode.USAGE;
    }
    return run(commands.get(parser.getParsedCommand())).fold(this::fail, success -> ExitCode.OK);
  }

  private JCommander newParser(GlobalOptions global) {
    JCommander parser = JCommander.newBuilder().programName(PROGRAM).addObject(global).build();
    commands.forEach((name, command) -> parser.addCommand(name, List.of(command, connection)));
    return parser;
  }

  private Either<CommandFailure, Void> run(Command command) {
    return command
        .prepare()
        .flatMap(
            invocation ->
                connection
                    .outputFormat()
                    .flatMap(
                        format -> connect().flatMap(client -> run(invocation, client, format))));
  }

  private Either<CommandFailure, OperatorClient> connect() {
    return connection
        .address(environment)
        .flatMap(
            daemon ->
                connection.token(environment).map(token -> new OperatorClient(daemon, token)));
  }

  private Either<CommandFailure, Void> run(
      Command.Invocation invocation, OperatorClient client, OutputFormat format) {
    try (client) {
      return invocation.run(client, new Output(format, out));
    }
  }

  private ExitCode fail(CommandFailure failure) {
    failure.lines().forEach(line -> errors.println(PROGRAM + ": " + line));
    return failure.exitCode();
  }

  private static final class GlobalOptions {
    @ParametersDelegate private final ConnectionOptions connection;

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean isHelp;

    GlobalOptions(ConnectionOptions connection) {
      this.connection = connection;
    }
  }
}
