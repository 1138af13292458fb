package org.galenapost.scenarios.run;

import java.util.Optional;

/** Thrown if a scenario does not behave as its file expects. */
public final class ScenarioFailure extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private ScenarioFailure(String message) {
    super(message);
  }

  static ScenarioFailure expectationNotMet(String fault, int stepNumber) {
    return new ScenarioFailure("step %d: %s".formatted(stepNumber, fault));
  }

  static ScenarioFailure unknownName(String kind, String name) {
    return new ScenarioFailure("expected a %s named %s, but none was sent".formatted(kind, name));
  }

  static ScenarioFailure waitTimedOut(String answers, long timeoutMs) {
    return new ScenarioFailure(
        "timed out after %d ms waiting for %s".formatted(timeoutMs, answers));
  }

  static ScenarioFailure unexpectedReply(
      String request, int expectedStatus, int status, String body) {
    return new ScenarioFailure(
        "%s: expected status %d, found %d with body %s"
            .formatted(request, expectedStatus, status, body));
  }

  static ScenarioFailure unexpectedExit(int expected, int found, String output) {
    return new ScenarioFailure(
        "command line: expected exit code %d, found %d with output %s"
            .formatted(expected, found, output));
  }

  static ScenarioFailure missingOutput(String expected, String output) {
    return new ScenarioFailure(
        "command line: expected output with '%s', found %s".formatted(expected, output));
  }

  /** Returns the message, or an empty value if there is none. */
  public Optional<String> message() {
    return Optional.ofNullable(getMessage());
  }
}
