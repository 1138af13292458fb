package org.galenapost.scenarios.naive;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import java.util.Optional;
import org.galenapost.daemon.Galenapostd;
import org.galenapost.daemon.wiring.Mechanisms;

/** Runs a daemon in which one mechanism is replaced by a naive version. */
public final class NaiveDaemon {

  private static final int EXIT_USAGE = 2;

  @Parameter(
      names = "--without",
      required = true,
      description = "name of the mechanism to replace by a naive version")
  private String mechanismName = "";

  @Parameter(
      names = "--settings",
      required = true,
      description = "path of the daemon's settings file")
  private String settings = "";

  private NaiveDaemon() {}

  /** Runs the daemon; exits with code 2 if the mechanism is unknown. */
  public static void main(String[] arguments) {
    NaiveDaemon program = new NaiveDaemon();
    JCommander.newBuilder().addObject(program).build().parse(arguments);
    Optional<Mechanisms> mechanisms = NaiveMechanisms.find(program.mechanismName);
    if (mechanisms.isEmpty()) {
      System.err.printf(
          "unknown mechanism: expected one of %s, found %s%n",
          NaiveMechanisms.names(), program.mechanismName);
      System.exit(EXIT_USAGE);
      return;
    }
    Galenapostd.run(new String[] {"--settings", program.settings}, mechanisms.get());
  }
}
