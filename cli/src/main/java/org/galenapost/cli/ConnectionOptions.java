package org.galenapost.cli;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.UnaryOperator;

/** The options that say which daemon is asked, as whom, and how the answer is printed. */
public final class ConnectionOptions {

  private static final String TOKEN_VARIABLE = "GALENAPOST_TOKEN";
  private static final String DAEMON_VARIABLE = "GALENAPOST_DAEMON";

  @Parameter(
      names = "--daemon",
      description = "operator port of any daemon, IP:PORT (or GALENAPOST_DAEMON)")
  private String daemon;

  @Parameter(names = "--token", description = "operator token (or GALENAPOST_TOKEN)")
  private String token;

  @Parameter(names = "--token-file", description = "file that holds the operator token")
  private String tokenFile;

  @Parameter(
      names = {"-o", "--output"},
      description = "table or json")
  private String output = "table";

  /** Returns the daemon's address. */
  Either<CommandFailure, DaemonAddress> address(UnaryOperator<String> environment) {
    String text = daemon == null ? environment.apply(DAEMON_VARIABLE) : daemon;
    return text == null
        ? Either.left(CommandFailure.invalidOption("--daemon", "IP:PORT", ""))
        : DaemonAddress.parse(text);
  }

  /** Returns the token: the option, else the file, else the environment. */
  Either<CommandFailure, String> token(UnaryOperator<String> environment) {
    if (token != null) {
      return Either.right(token);
    }
    if (tokenFile != null) {
      return readToken();
    }
    return Optional.ofNullable(environment.apply(TOKEN_VARIABLE))
        .<Either<CommandFailure, String>>map(Either::right)
        .orElseGet(
            () ->
                Either.left(
                    CommandFailure.invalidOption(
                        "--token", "a token here, in --token-file or in " + TOKEN_VARIABLE, "")));
  }

  /** Returns the form of the output. */
  Either<CommandFailure, OutputFormat> outputFormat() {
    return OutputFormat.of(output)
        .<Either<CommandFailure, OutputFormat>>map(Either::right)
        .orElseGet(() -> Either.left(CommandFailure.invalidOption("-o", "table or json", output)));
  }

  private Either<CommandFailure, String> readToken() {
    try {
      return Either.right(Files.readString(Path.of(tokenFile), StandardCharsets.UTF_8).strip());
    } catch (IOException e) {
      return Either.left(CommandFailure.invalidOption("--token-file", "a readable file", tokenFile));
    }
  }
}
