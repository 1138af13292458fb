package org.galenapost.scenarios.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.fleet.RunningFleet;
import org.galenapost.scenarios.language.Expectation;

/** Checks expectations. Each check returns a description of the fault, or an empty value. */
final class ExpectationChecker {

  private static final int OK = 200;

  private final RunningFleet fleet;
  private final RequestLog requests;
  private final ControlClient control;
  private final ActionChecker actions;

  ExpectationChecker(RunningFleet fleet, RequestLog requests, ControlClient control) {
    this.fleet = fleet;
    this.requests = requests;
    this.control = control;
    this.actions = new ActionChecker(fleet, requests, control);
  }

  Optional<String> check(Expectation expectation) {
    if (expectation instanceof Expectation.WholeAnswer whole) {
      return checkWholeAnswers(whole);
    } else if (expectation instanceof Expectation.TrueTokens tokens) {
      return firstFault(
          requests.completions(tokens.request()),
          sent -> AnswerChecker.checkTokens(sent.call(), sent.answer()));
    } else if (expectation instanceof Expectation.Refused refused) {
      return checkRefused(refused);
    } else if (expectation instanceof Expectation.Answered answered) {
      return checkAnswered(answered);
    } else if (expectation instanceof Expectation.ServiceRuns runs) {
      return actions.checkRuns(runs);
    } else if (expectation instanceof Expectation.TruthfulVerdicts truthful) {
      return actions.checkVerdicts(truthful.service());
    } else {
      return checkProcess(expectation);
    }
  }

  private Optional<String> checkProcess(Expectation expectation) {
    if (expectation instanceof Expectation.Count count) {
      return checkCount(count);
    } else if (expectation instanceof Expectation.Metric metric) {
      return checkMetric(metric);
    } else if (expectation instanceof Expectation.Ready ready) {
      return checkReady(ready);
    } else if (expectation instanceof Expectation.Running running) {
      return checkRunning(running);
    } else if (expectation instanceof Expectation.InForce inForce) {
      return checkInForce(inForce);
    } else if (expectation instanceof Expectation.OperatorAnswer answer) {
      return checkOperatorAnswer(answer);
    } else if (expectation instanceof Expectation.EngineState state) {
      return contains(
          control.get(fleet.standinUrl(state.engine()) + "/v1/state"), state.contains());
    }
    return Optional.of("no check exists for expectation " + expectation);
  }

  private Optional<String> checkWholeAnswers(Expectation.WholeAnswer whole) {
    return firstFault(
        requests.completions(whole.request()),
        sent -> AnswerChecker.checkWholeAnswer(sent.call(), sent.answer(), whole.maxGapMs()));
  }

  private Optional<String> checkRefused(Expectation.Refused refused) {
    return firstFault(
        requests.answers(refused.request()),
        answer -> {
          JsonNode problem = answer.problem().orElse(null);
          boolean isExpected =
              problem != null
                  && matches(problem, "reason", refused.reason())
                  && matches(problem, "verdict", refused.verdict());
          return isExpected
              ? Optional.empty()
              : Optional.of("expected %s, found %s".formatted(refused, answer.describe()));
        });
  }

  private static boolean matches(JsonNode problem, String field, Optional<String> expected) {
    return expected.map(text -> problem.path(field).asText().equals(text)).orElse(true);
  }

  private Optional<String> checkAnswered(Expectation.Answered answered) {
    return firstFault(
        requests.answers(answered.request()),
        answer ->
            answer.isEnded() && answer.status() == answered.status()
                ? Optional.empty()
                : Optional.of("expected %s, found %s".formatted(answered, answer.describe())));
  }

  private Optional<String> checkCount(Expectation.Count count) {
    ControlClient.Reply reply = control.get(fleet.standinUrl(count.process()) + "/standin/counts");
    double found = reply.json().at(count.path()).asDouble(0);
    return checkBounds(count.toString(), found, count.atLeast(), count.atMost());
  }

  private Optional<String> checkMetric(Expectation.Metric metric) {
    ControlClient.Reply reply = control.get(fleet.operatorUrl(metric.daemon()) + "/metrics");
    double found =
        reply
            .body()
            .lines()
            .filter(line -> line.startsWith(metric.name()))
            .filter(line -> metric.tag().map(line::contains).orElse(true))
            .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
            .sum();
    return checkBounds(metric.toString(), found, metric.atLeast(), metric.atMost());
  }

  private static Optional<String> checkBounds(
      String expected, double found, Optional<Double> atLeast, Optional<Double> atMost) {
    boolean isAtMost = atMost.map(bound -> found <= bound).orElse(true);
    boolean isAtLeast = atLeast.map(bound -> found >= bound).orElse(true);
    return isAtMost && isAtLeast
        ? Optional.empty()
        : Optional.of("expected %s, found %s".formatted(expected, found));
  }

  private Optional<String> checkReady(Expectation.Ready ready) {
    ControlClient.Reply reply = control.get(fleet.operatorUrl(ready.daemon()) + "/readyz");
    return (reply.status() == OK) == ready.ready()
        ? Optional.empty()
        : Optional.of("expected %s, found %s".formatted(ready, reply));
  }

  private Optional<String> checkRunning(Expectation.Running running) {
    return fleet.process(running.process()).isRunning() == running.running()
        ? Optional.empty()
        : Optional.of("expected " + running);
  }

  private Optional<String> checkInForce(Expectation.InForce inForce) {
    String path = "/v1/config/" + inForce.kind() + "/" + inForce.name();
    ControlClient.Reply reply = askOperator(inForce.daemon(), path);
    String found = reply.json().path("value").at(inForce.pointer()).asText();
    return found.equals(inForce.value())
        ? Optional.empty()
        : Optional.of("expected %s, found %s".formatted(inForce, reply));
  }

  private Optional<String> checkOperatorAnswer(Expectation.OperatorAnswer answer) {
    return contains(askOperator(answer.daemon(), answer.path()), answer.contains());
  }

  private ControlClient.Reply askOperator(String daemon, String path) {
    String url = fleet.operatorUrl(daemon) + path;
    return control.send("GET", url, Optional.of(fleet.operatorToken()), "");
  }

  private static Optional<String> contains(ControlClient.Reply reply, String expected) {
    return reply.body().contains(expected)
        ? Optional.empty()
        : Optional.of("expected '%s', found %s".formatted(expected, reply));
  }

  private static <T> Optional<String> firstFault(
      List<T> subjects, java.util.function.Function<T, Optional<String>> check) {
    return subjects.stream().map(check).flatMap(Optional::stream).findFirst();
  }
}
