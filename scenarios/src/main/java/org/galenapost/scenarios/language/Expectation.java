package org.galenapost.scenarios.language;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;

/** A check of a scenario. In YAML it is a map with a single key that names the check. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_OBJECT)
@JsonSubTypes({
  @JsonSubTypes.Type(value = Expectation.WholeAnswer.class, name = "whole-answer"),
  @JsonSubTypes.Type(value = Expectation.TrueTokens.class, name = "true-tokens"),
  @JsonSubTypes.Type(value = Expectation.Refused.class, name = "refused"),
  @JsonSubTypes.Type(value = Expectation.Answered.class, name = "answered"),
  @JsonSubTypes.Type(value = Expectation.ServiceRuns.class, name = "service-runs"),
  @JsonSubTypes.Type(value = Expectation.TruthfulVerdicts.class, name = "truthful-verdicts"),
  @JsonSubTypes.Type(value = Expectation.Count.class, name = "count"),
  @JsonSubTypes.Type(value = Expectation.Metric.class, name = "metric"),
  @JsonSubTypes.Type(value = Expectation.Ready.class, name = "ready"),
  @JsonSubTypes.Type(value = Expectation.Running.class, name = "running"),
  @JsonSubTypes.Type(value = Expectation.InForce.class, name = "in-force"),
  @JsonSubTypes.Type(value = Expectation.OperatorAnswer.class, name = "operator-answer"),
  @JsonSubTypes.Type(value = Expectation.EngineState.class, name = "engine-state")
})
public sealed interface Expectation {

  /**
   * A request has completed with all tokens, in order and from a single generation.
   *
   * @param request the name of the request; if it was sent with a count, every {@code name-N}
   * @param maxGapMs the longest allowed gap between two tokens, in milliseconds
   */
  record WholeAnswer(String request, Optional<Long> maxGapMs) implements Expectation {}

  /** The tokens that a request has received so far are a prefix of the correct answer. */
  record TrueTokens(String request) implements Expectation {}

  /** A request was refused, with the given reason and verdict if present. */
  record Refused(String request, Optional<String> reason, Optional<String> verdict)
      implements Expectation {}

  /** A request was answered with the given HTTP status. */
  record Answered(String request, int status) implements Expectation {}

  /** A plain service executed the calls with an idempotency key the given number of times. */
  record ServiceRuns(String service, String key, int runs) implements Expectation {}

  /**
   * The verdicts on the calls of a plain service are true: the service executed every call that was
   * answered as run and none that was answered as not run, and it executed no key twice.
   */
  record TruthfulVerdicts(String service) implements Expectation {}

  /**
   * A counter of a stand-in lies within inclusive bounds.
   *
   * @param process the name of the stand-in
   * @param path the JSON pointer to the counter in the stand-in's counts document
   */
  record Count(String process, String path, Optional<Double> atLeast, Optional<Double> atMost)
      implements Expectation {}

  /**
   * The sum of the matching samples of a daemon's metric lies within inclusive bounds.
   *
   * @param daemon the name of the daemon
   * @param name the name of the metric
   * @param tag a text that the tags of a sample must contain; all samples match if empty
   */
  record Metric(
      String daemon,
      String name,
      Optional<String> tag,
      Optional<Double> atLeast,
      Optional<Double> atMost)
      implements Expectation {}

  /** A daemon reports itself as ready, or as not ready. */
  record Ready(String daemon, boolean ready) implements Expectation {}

  /** A process is running, or has exited. */
  record Running(String process, boolean running) implements Expectation {}

  /** A daemon has a value in force at a JSON pointer of a configuration object. */
  record InForce(String daemon, String kind, String name, String pointer, String value)
      implements Expectation {}

  /** A GET of a path on a daemon's operator port returns a body that contains a text. */
  record OperatorAnswer(String daemon, String path, String contains) implements Expectation {}

  /** The state document that an engine serves contains a text. */
  record EngineState(String engine, String contains) implements Expectation {}
}
