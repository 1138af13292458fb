package org.galenapost.scenarios.run;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.galenapost.scenarios.client.Answer;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.fleet.RunningFleet;
import org.galenapost.scenarios.language.Expectation;

/** Compares the outcomes that callers received for actions with the runs the service counted. */
final class ActionChecker {

  private static final String NOT_RUN = "not-run";
  private static final int OK = 200;

  private final RunningFleet fleet;
  private final RequestLog requests;
  private final ControlClient control;

  ActionChecker(RunningFleet fleet, RequestLog requests, ControlClient control) {
    this.fleet = fleet;
    this.requests = requests;
    this.control = control;
  }

  Optional<String> checkRuns(Expectation.ServiceRuns expected) {
    int found = countRuns(expected.service(), expected.key());
    return found == expected.runs()
        ? Optional.empty()
        : Optional.of("expected %s, found %d runs".formatted(expected, found));
  }

  Optional<String> checkVerdicts(String service) {
    Map<String, List<Answer>> answersByKey =
        requests.callsToService(service).stream()
            .collect(
                Collectors.groupingBy(
                    RequestLog.SentCall::key,
                    Collectors.mapping(RequestLog.SentCall::answer, Collectors.toList())));
    return answersByKey.entrySet().stream()
        .map(
            entry -> checkKey(entry.getKey(), entry.getValue(), countRuns(service, entry.getKey())))
        .flatMap(Optional::stream)
        .findFirst();
  }

  private static Optional<String> checkKey(String key, List<Answer> answers, int runs) {
    boolean allReportNotRun = answers.stream().allMatch(ActionChecker::reportsNotRun);
    boolean anyReportsRun = answers.stream().anyMatch(answer -> answer.status() == OK);
    if (runs > 1) {
      return Optional.of(
          "expected key %s to run at most once, but it ran %d times".formatted(key, runs));
    }
    if (allReportNotRun && runs > 0) {
      return Optional.of("key %s was reported as not run, but it ran".formatted(key));
    }
    if (anyReportsRun && runs == 0) {
      return Optional.of("key %s was reported as run, but it did not run".formatted(key));
    }
    return Optional.empty();
  }

  private static boolean reportsNotRun(Answer answer) {
    return answer
        .problem()
        .map(problem -> problem.path("verdict").asText().equals(NOT_RUN))
        .orElse(false);
  }

  private int countRuns(String service, String key) {
    int runs = 0;
    for (String process : fleet.serviceProcesses(service)) {
      JsonNode counts = control.get(fleet.standinUrl(process) + "/standin/runs").json();
      runs += counts.path(key).asInt(0);
    }
    return runs;
  }
}
