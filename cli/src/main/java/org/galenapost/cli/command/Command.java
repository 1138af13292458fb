package org.galenapost.cli.command;

import io.vavr.control.Either;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;

/** A command of the tool. JCommander sets its options before the command runs. */
public interface Command {

  /**
   * Validates the arguments without calling the daemon.
   *
   * @return the invocation to run against the daemon, or the faults of the arguments
   */
  Either<CommandFailure, Invocation> prepare();

  /** The part of a command that calls the daemon. */
  @FunctionalInterface
  interface Invocation {
    /** Calls the daemon and prints the result. A right value means success. */
    Either<CommandFailure, Void> run(OperatorClient client, Output output);
  }
}
