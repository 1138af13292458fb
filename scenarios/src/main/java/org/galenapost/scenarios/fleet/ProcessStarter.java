package org.galenapost.scenarios.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.galenapost.daemon.Galenapostd;
import org.galenapost.scenarios.language.FleetSpec;
import org.galenapost.scenarios.naive.NaiveDaemon;
import org.galenapost.scenarios.process.JavaCommand;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.standins.StandinMain;

/** Starts the stand-ins and daemons of a scenario and runs the operators' tool. */
final class ProcessStarter {

  private static final String OPERATOR_TOOL_CLASS = "org.galenapost.cli.Galenapost";

  private final Path folder;
  private final Optional<String> naiveMechanism;

  ProcessStarter(Path folder, Optional<String> naiveMechanism) {
    this.folder = folder;
    this.naiveMechanism = naiveMechanism;
  }

  ManagedProcess startStandin(String name, List<String> arguments) {
    return start(name, StandinMain.class.getName(), arguments);
  }

  ManagedProcess startDaemon(FleetSpec.DaemonSpec daemon, Ports ports, int platformPort) {
    Path settings = DaemonSettingsFile.write(folder, daemon, ports, platformPort);
    List<String> arguments = new ArrayList<>();
    naiveMechanism.ifPresent(mechanism -> arguments.addAll(List.of("--without", mechanism)));
    arguments.addAll(List.of("--settings", settings.toString()));
    Class<?> program = naiveMechanism.isPresent() ? NaiveDaemon.class : Galenapostd.class;
    return start(daemon.id(), program.getName(), arguments);
  }

  private ManagedProcess start(String name, String program, List<String> arguments) {
    List<String> command = JavaCommand.withLog(program, arguments);
    return ManagedProcess.start(name, command, folder.resolve(name + ".log"));
  }

  CommandResult runCommandLine(String daemonAddress, List<String> arguments) {
    List<String> allArguments = new ArrayList<>();
    allArguments.addAll(List.of("--daemon", daemonAddress));
    allArguments.addAll(List.of("--token", DaemonSettingsFile.OPERATOR_TOKEN));
    allArguments.addAll(arguments);
    ProcessBuilder builder = new ProcessBuilder(JavaCommand.of(OPERATOR_TOOL_CLASS, allArguments));
    builder.redirectErrorStream(true);
    try {
      Process process = builder.start();
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return new CommandResult(process.waitFor(), output);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot start the operators' tool or read its output", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(
          "interrupted while waiting for the operators' tool to exit", e);
    }
  }
}
