package org.galenapost.scenarios.language;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;

/** A step of a scenario. In YAML it is a map with a single key that names the step. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_OBJECT)
@JsonSubTypes({
  @JsonSubTypes.Type(value = Step.Start.class, name = "start"),
  @JsonSubTypes.Type(value = Step.Stop.class, name = "stop"),
  @JsonSubTypes.Type(value = Step.Kill.class, name = "kill"),
  @JsonSubTypes.Type(value = Step.Freeze.class, name = "freeze"),
  @JsonSubTypes.Type(value = Step.Thaw.class, name = "thaw"),
  @JsonSubTypes.Type(value = Step.Cut.class, name = "cut"),
  @JsonSubTypes.Type(value = Step.Heal.class, name = "heal"),
  @JsonSubTypes.Type(value = Step.Outage.class, name = "outage"),
  @JsonSubTypes.Type(value = Step.LoseAnswer.class, name = "lose-answer"),
  @JsonSubTypes.Type(value = Step.Switch.class, name = "switch"),
  @JsonSubTypes.Type(value = Step.Hosts.class, name = "hosts"),
  @JsonSubTypes.Type(value = Step.Apply.class, name = "apply"),
  @JsonSubTypes.Type(value = Step.CommandLine.class, name = "command-line"),
  @JsonSubTypes.Type(value = Step.Send.class, name = "send"),
  @JsonSubTypes.Type(value = Step.Call.class, name = "call"),
  @JsonSubTypes.Type(value = Step.Await.class, name = "await"),
  @JsonSubTypes.Type(value = Step.Pause.class, name = "pause"),
  @JsonSubTypes.Type(value = Step.Expect.class, name = "expect")
})
public sealed interface Step {

  /** Starts a daemon or an engine; a restarted process keeps its ports. */
  record Start(String process) implements Step {}

  /** Sends SIGTERM to a process. */
  record Stop(String process) implements Step {}

  /** Kills a process with SIGKILL. */
  record Kill(String process) implements Step {}

  /** Suspends a process with SIGSTOP. */
  record Freeze(String process) implements Step {}

  /** Resumes a suspended process with SIGCONT. */
  record Thaw(String process) implements Step {}

  /**
   * Drops the traffic of a link in one or both directions.
   *
   * @param link the engine or service that the link leads to, or {@code <daemon>-platform}
   * @param mode the direction: {@code both}, {@code forward} or {@code backward}; both if absent
   */
  record Cut(String link, Optional<String> mode) implements Step {}

  /** Lets the traffic of a link pass again. */
  record Heal(String link) implements Step {}

  /**
   * Starts or ends an outage of the platform.
   *
   * @param on true to start the outage, false to end it
   * @param mode how calls to the platform fail: {@code refuse}, {@code hang} or {@code close}
   */
  record Outage(boolean on, Optional<String> mode) implements Step {}

  /**
   * Makes the platform apply the next writes but drop the responses to them.
   *
   * @param count the number of writes
   * @param kind the kind of object whose writes are affected; all kinds if absent
   */
  record LoseAnswer(int count, Optional<String> kind) implements Step {}

  /**
   * Changes the behaviour of a stand-in through one of its control switches.
   *
   * @param process the name of the stand-in
   * @param name the name of the switch
   * @param body the settings of the switch
   */
  record Switch(String process, String name, Optional<JsonNode> body) implements Step {}

  /**
   * Sets the state of a process in the platform's host list, such as {@code leaving} or {@code
   * live}.
   */
  record Hosts(String process, String state) implements Step {}

  /**
   * Writes a configuration object through a daemon's operator port.
   *
   * @param daemon the name of the daemon
   * @param kind the kind of object
   * @param name the name of the object
   * @param value the new value
   * @param expectedVersion the version that the write is conditional on; the current version if
   *     absent
   * @param expectedStatus the HTTP status to expect; 200 if absent
   * @param answerContains a text that the body of the answer must contain
   */
  record Apply(
      String daemon,
      String kind,
      String name,
      JsonNode value,
      Optional<Long> expectedVersion,
      Optional<Integer> expectedStatus,
      Optional<String> answerContains)
      implements Step {}

  /**
   * Runs the operators' tool.
   *
   * @param daemon the name of the daemon that the tool connects to
   * @param arguments the arguments of the tool
   * @param exitCode the exit code to expect
   * @param outputContains texts that the output of the tool must contain
   */
  record CommandLine(
      String daemon, List<String> arguments, int exitCode, Optional<List<String>> outputContains)
      implements Step {}

  /**
   * Sends completion requests without waiting for the answers.
   *
   * @param request the name of the request; with a count, the requests are named {@code name-0},
   *     {@code name-1} and so on
   * @param to the daemons; the first receives the request, and the client resumes a broken stream
   *     at the others if {@code reconnect} is true
   */
  record Send(
      String request,
      List<String> to,
      String model,
      String prompt,
      int maxTokens,
      Optional<Long> seed,
      Optional<String> profile,
      Optional<String> key,
      Optional<String> workspace,
      Optional<Integer> count,
      Optional<Boolean> reconnect)
      implements Step {}

  /** Calls a plain service without waiting for the answer. */
  record Call(
      String request,
      String to,
      String service,
      String body,
      Optional<String> key,
      Optional<String> profile,
      Optional<Integer> count)
      implements Step {}

  /**
   * Waits until a request has received a number of tokens, or has ended.
   *
   * @param request the name of the request; if it was sent with a count, every {@code name-N}
   * @param tokens the number of tokens to wait for; the end of the request if absent
   * @param withinMs the timeout in milliseconds
   */
  record Await(String request, Optional<Integer> tokens, long withinMs) implements Step {}

  /** Waits for a fixed time in milliseconds. */
  record Pause(long ms) implements Step {}

  /**
   * Repeats a check until it passes or the time limit is reached.
   *
   * @param that the check
   * @param withinMs the time limit in milliseconds; if absent, the check must pass at once
   */
  record Expect(Expectation that, Optional<Long> withinMs) implements Step {}
}
