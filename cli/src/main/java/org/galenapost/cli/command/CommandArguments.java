package org.galenapost.cli.command;

import io.vavr.control.Either;
import java.util.List;
import org.galenapost.cli.CommandFailure;

/**
 * The words after a command's name.
 *
 * @param command the command
 * @param usage the words that it takes, for the error message
 * @param positionals the words that it got
 */
record CommandArguments(String command, String usage, List<String> positionals) {

  CommandArguments {
    positionals = List.copyOf(positionals);
  }

  boolean isAction(String action, int argumentCount) {
    return positionals.size() == argumentCount + 1 && positionals.get(0).equals(action);
  }

  String argument(int index) {
    return positionals.get(index + 1);
  }

  <T> Either<CommandFailure, T> usageError() {
    return Either.left(CommandFailure.invalidOption(command, usage, String.join(" ", positionals)));
  }
}
