package org.galenapost.cli.command;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import org.galenapost.cli.CommandFailure;
import org.galenapost.cli.OperatorClient;
import org.galenapost.cli.Output;

/** The options of commands that write configuration objects from a file. */
public final class ApplyOptions {

  private static final long DEFAULT_TIMEOUT_MS = 14_000;

  @Parameter(
      names = {"-f", "--file"},
      description = "YAML file with one or several objects")
  private String file;

  @Parameter(names = "--wait", description = "wait until every daemon has the change in force")
  private boolean isWaitRequested;

  @Parameter(names = "--timeout-ms", description = "how long --wait waits")
  private long timeoutMs = DEFAULT_TIMEOUT_MS;

  /** Reads and checks the file. */
  Either<CommandFailure, List<ObjectSpec>> read() {
    return file == null
        ? Either.left(CommandFailure.invalidOption("-f", "a file", ""))
        : ObjectFileReader.read(file);
  }

  /** Writes the objects and waits for them if asked to. */
  Either<CommandFailure, Void> apply(List<ObjectSpec> specs, OperatorClient client, Output output) {
    Duration timeout = Duration.ofMillis(timeoutMs);
    return new Applier(client, output)
        .apply(specs)
        .flatMap(
            applied ->
                isWaitRequested
                    ? new RevisionWaiter(client, output, timeout).await(applied)
                    : Either.right(null));
  }
}
