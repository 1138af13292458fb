package org.galenapost.cli.command;

import io.vavr.control.Either;
import java.util.List;
import org.galenapost.cli.CommandFailure;

/**
 * The positional arguments of a command: an action, followed by the arguments of the action.
 *
 * @param command the name of the command
 * @param usage the expected arguments, for error messages
 * @param positionals the arguments given
 */
record CommandArguments(String command, String usage, List<String> positionals) {

  CommandArguments {
    positionals = List.copyOf(positionals);
  }

  /** Returns whether the arguments are the action and the given number of others. */
  boolean isAction(String action, int argumentCount) {
    return positionals.size() == argumentCount + 1 && positionals.get(0).equals(action);
  }

  /** Returns an argument of the action; index 0 is the first one after the action. */
  String argument(int index) {
    return positionals.get(index + 1);
  }

  /** Returns the failure for arguments that the command does not accept. */
  <T> Either<CommandFailure, T> usageError() {
    return Either.left(CommandFailure.invalidOption(command, usage, String.join(" ", positionals)));
  }
}
