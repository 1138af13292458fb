package org.galenapost.scenarios.run;

import java.util.Optional;

/** Reports that a scenario did not do what its file expects. */
public final class ScenarioFailure extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private ScenarioFailure(String message) {
    super(message);
  }

  static ScenarioFailure expectationNotMet(String found, int stepNumber) {
    return new ScenarioFailure("step %d: %s".formatted(stepNumber, found));
  }

  static ScenarioFailure unknownName(String kind, String name) {
    return new ScenarioFailure("no %s is named %s".formatted(kind, name));
  }

  static ScenarioFailure waitTimedOut(String what, long limitMs) {
    return new ScenarioFailure("waited %d ms for %s".formatted(limitMs, what));
  }

  static ScenarioFailure unexpectedReply(String what, int expectedStatus, int status, String body) {
    return new ScenarioFailure(
        "%s: expected status %d, found %d with %s".formatted(what, expectedStatus, status, body));
  }

  static ScenarioFailure unexpectedExit(int expected, int found, String output) {
    return new ScenarioFailure(
        "command line: expected exit code %d, found %d with %s".formatted(expected, found, output));
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
