package org.galenapost.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.galenapost.standins.balancer.BalancerCommand;
import org.galenapost.standins.engine.EngineCommand;
import org.galenapost.standins.link.LinkCommand;
import org.galenapost.standins.platform.PlatformCommand;
import org.galenapost.standins.service.ServiceCommand;

/** The program {@code galenapost-standin}. Starts one stand-in, which runs until SIGTERM. */
public final class StandinMain {

  private static final int EXIT_USAGE = 2;

  private StandinMain() {}

  /** Parses the arguments and runs the subcommand that they name. */
  public static void main(String[] arguments) throws IOException {
    List<StandinCommand> commands = commands();
    JCommander parser = JCommander.newBuilder().programName("galenapost-standin").build();
    commands.forEach(command -> parser.addCommand(command.role(), command));
    try {
      parser.parse(arguments);
      run(parser, commands);
    } catch (ParameterException e) {
      exitWithUsage(parser, e.getMessage());
    }
  }

  private static void run(JCommander parser, List<StandinCommand> commands) throws IOException {
    Optional<StandinCommand> chosen =
        commands.stream()
            .filter(command -> command.role().equals(parser.getParsedCommand()))
            .findFirst();
    if (chosen.isEmpty()) {
      throw new ParameterException("expected a subcommand, but found none");
    } else if (chosen.get().isHelp) {
      parser.getCommands().get(chosen.get().role()).usage();
    } else {
      serve(chosen.get(), System.out);
    }
  }

  private static List<StandinCommand> commands() {
    return List.of(
        new PlatformCommand(),
        new EngineCommand(),
        new ServiceCommand(),
        new LinkCommand(),
        new BalancerCommand());
  }

  private static void serve(StandinCommand command, PrintStream out) throws IOException {
    Standin standin = command.create();
    standin.start();
    Runtime.getRuntime().addShutdownHook(new Thread(standin::stop, "stop"));
    if (command.portFile != null) {
      writePort(command.portFile, standin.port());
    }
    if (command.controlPortFile != null && standin.controlPort().isPresent()) {
      writePort(command.controlPortFile, standin.controlPort().getAsInt());
    }
    out.println(formatListeningLine(command.role(), standin));
  }

  private static String formatListeningLine(String role, Standin standin) {
    String line = "event=listening role=" + role + " port=" + standin.port();
    OptionalInt controlPort = standin.controlPort();
    return controlPort.isPresent() ? line + " control_port=" + controlPort.getAsInt() : line;
  }

  /** Writes the file and moves it into place, so that no reader sees an incomplete file. */
  private static void writePort(Path file, int port) throws IOException {
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".partial");
    Files.writeString(temporaryFile, port + "\n");
    Files.move(
        temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private static void exitWithUsage(JCommander parser, String message) {
    System.err.println(message);
    System.err.println("subcommands, each with its own --help:");
    parser.getCommands().keySet().forEach(name -> System.err.println("  " + name));
    System.exit(EXIT_USAGE);
  }
}
