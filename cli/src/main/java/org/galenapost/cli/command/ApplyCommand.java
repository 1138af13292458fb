package org.galenapost.cli.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import org.galenapost.cli.CommandFailure;

/** Writes every object of a file. */
@Parameters(commandDescription = "write configuration objects: -f FILE [--wait] [--timeout-ms N]")
public final class ApplyCommand implements Command {

  @ParametersDelegate private ApplyOptions options = new ApplyOptions();

  @Override
  public Either<CommandFailure, Invocation> prepare() {
    return options.read().map(specs -> (client, output) -> options.apply(specs, client, output));
  }
}
