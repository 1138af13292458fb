package org.galenapost.cli.command;

import io.vavr.control.Either;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;

/** One command of the tool, with its options filled in. */
public interface Command {

  /**
   * Checks the arguments without calling the daemon.
   *
   * @return the steps that call it, or what is wrong with the arguments
   */
  Either<CommandFailure, Invocation> prepare();

  /** What a command does with the daemon. */
  @FunctionalInterface
  interface Invocation {
    /** Runs the command; the right side means success. */
    Either<CommandFailure, Void> run(OperatorClient client, Output output);
  }
}
