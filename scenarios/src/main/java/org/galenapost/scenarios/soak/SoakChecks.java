package org.galenapost.scenarios.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenapost.scenarios.soak.CallRecord.Kind;
import org.galenapost.scenarios.soak.CallRecord.Outcome;
import org.galenapost.standins.gateway.RawHttpClient;
import org.galenapost.standins.gateway.ServerAnswer;
import org.galenapost.standins.gateway.ServerStandin;
import org.galenapost.standins.gateway.StoreContentWriter;

/** Checks what callers and servers observed against the guarantees of the gateway. */
final class SoakChecks {

  /** The statuses that guarantee that a call has not run and never will. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private static final int OK = 200;
  private static final int UNAUTHENTICATED = 401;

  /** The time limit for a configuration change or a server drain to reach connected daemons. */
  private static final long PROPAGATION_LIMIT_NANOS = Duration.ofSeconds(2).toNanos();

  /** The route timeout plus the delay allowed for the final response. */
  private static final long MAX_CALL_DURATION_NANOS =
      Duration.ofMillis(StoreContentWriter.ROUTE_TIMEOUT_MS + 500).toNanos();

  /** A request may be lost if the daemon closes the connection within this time of sending. */
  private static final long CLOSE_RACE_NANOS = Duration.ofMillis(200).toNanos();

  /** A call may still reach a server within this time after its caller disconnected. */
  private static final long ABANDON_PROPAGATION_NANOS = Duration.ofMillis(500).toNanos();

  private static final int MAX_DIFFERENCE_CHARS = 80;

  /** The specification tolerates a few violations of some guarantees per day. */
  private static final int MAX_TOLERATED = 3;

  private final SoakHistory history;
  private final Map<String, List<Execution>> executions = new HashMap<>();
  private final Map<String, List<ServerAnswer>> serverAnswers;
  private final List<String> violations = new ArrayList<>();

  /** One run of a call at a server instance. */
  private record Execution(String serverId, ServerStandin.Run run) {}

  private SoakChecks(
      SoakHistory history,
      Map<String, List<ServerStandin.Run>> runs,
      Collection<ServerAnswer> serverAnswers) {
    this.history = history;
    this.serverAnswers =
        serverAnswers.stream().collect(Collectors.groupingBy(ServerAnswer::callId));
    runs.forEach(
        (serverId, ownRuns) -> {
          for (ServerStandin.Run run : ownRuns) {
            executions
                .computeIfAbsent(run.callId(), id -> new ArrayList<>())
                .add(new Execution(serverId, run));
          }
        });
  }

  /**
   * Returns the violated guarantees, one line each.
   *
   * @param history the calls of all callers and the actions on the fleet
   * @param runs the runs of each server instance, by instance id
   * @param serverAnswers the sealed answers of all server instances, other than streams
   */
  static List<String> violations(
      SoakHistory history,
      Map<String, List<ServerStandin.Run>> runs,
      Collection<ServerAnswer> serverAnswers) {
    SoakChecks checks = new SoakChecks(history, runs, serverAnswers);
    checks.checkAll();
    return List.copyOf(checks.violations);
  }

  private void checkAll() {
    violations.addAll(history.failures());
    for (Map.Entry<String, List<Execution>> entry : executions.entrySet()) {
      Optional<CallRecord> call = history.call(entry.getKey());
      if (call.isEmpty()) {
        violations.add("a server ran " + entry.getKey() + ", which nobody sent");
      }
      call.ifPresent(found -> checkExecutions(found, entry.getValue()));
    }
    history.calls().forEach(this::checkCall);
    checkTolerated("was held past its route's timeout", this::isHeldTooLong);
    checkTolerated("reached a server after its caller had left", this::isRunAfterCallerLeft);
    checkTolerated("ran on more servers than its route allows", this::isRunOnTooManyServers);
  }

  private List<Execution> executionsOf(CallRecord call) {
    return executions.getOrDefault(call.id(), List.of());
  }

  private void addViolation(CallRecord call, String violation) {
    List<String> servers = executionsOf(call).stream().map(Execution::serverId).toList();
    violations.add(
        "call "
            + call.id()
            + " ("
            + call.kind()
            + " to d"
            + call.daemon()
            + ", "
            + call.outcome()
            + call.answer().map(answer -> " " + answer.status()).orElse("")
            + " after "
            + Duration.ofNanos(call.durationNanos()).toMillis()
            + " ms, ran at "
            + servers
            + ") "
            + violation);
  }

  private void checkExecutions(CallRecord call, List<Execution> runs) {
    if (call.kind() == Kind.ONCE && runs.size() > 1) {
      addViolation(call, "ran more than once");
    }
    if (call.kind() == Kind.STREAM && mixesVersions(runs, versionBefore(call))) {
      addViolation(call, "went on at another software version");
    }
    for (Execution execution : runs) {
      ServerStandin.Run run = execution.run();
      if (run.violatesHeaderPolicy()) {
        addViolation(call, "reached a server with headers that are not its own");
      }
      if (!run.target().equals(call.kind().prefix + call.id())) {
        addViolation(call, "reached a server as " + run.target());
      }
      Long drainNanos = history.drainStartNanos().get(execution.serverId());
      boolean isLate =
          drainNanos != null && run.startedAtNanos() - drainNanos > PROPAGATION_LIMIT_NANOS;
      if (isLate && isDaemonUndisturbed(call, drainNanos, run.startedAtNanos())) {
        addViolation(call, "reached " + execution.serverId() + ", which had said that it leaves");
      }
    }
  }

  /** Returns the version that began the stream which a call resumes; empty for other calls. */
  private String versionBefore(CallRecord call) {
    return call.resumption()
        .map(resumption -> executions.getOrDefault(resumption.stream(), List.of()))
        .map(SoakChecks::inOrder)
        .flatMap(
            runs ->
                runs.stream()
                    .filter(run -> !run.headers().containsKey("Last-Event-Id"))
                    .reduce((first, last) -> last))
        .map(ServerStandin.Run::softwareVersion)
        .orElse("");
  }

  private static List<ServerStandin.Run> inOrder(List<Execution> runs) {
    return runs.stream()
        .map(Execution::run)
        .sorted(Comparator.comparingLong(ServerStandin.Run::startedAtNanos))
        .toList();
  }

  /** Returns whether a run that resumes a stream has another version than the one that began it. */
  private static boolean mixesVersions(List<Execution> runs, String versionBefore) {
    String version = versionBefore;
    for (ServerStandin.Run run : inOrder(runs)) {
      if (!run.headers().containsKey("Last-Event-Id")) {
        version = run.softwareVersion();
      } else if (!run.softwareVersion().equals(version)) {
        return true;
      }
    }
    return false;
  }

  private boolean isDaemonUndisturbed(CallRecord call, long fromNanos, long toNanos) {
    return history.disturbances().isDaemonUndisturbed(call.daemon(), fromNanos, toNanos);
  }

  private void checkCall(CallRecord call) {
    call.answer().ifPresent(answer -> checkAnswer(call, answer));
    checkKey(call);
    if (history.disturbances().isFleetUndisturbed(call.sentNanos(), call.endNanos())) {
      checkUndisturbedCall(call);
    }
  }

  private void checkAnswer(CallRecord call, RawHttpClient.Response answer) {
    if (NOT_RUN_STATUSES.contains(answer.status()) && !executionsOf(call).isEmpty()) {
      addViolation(call, "was refused as not run");
    }
    boolean isStream = call.kind() == Kind.STREAM && answer.status() == OK;
    if (answer.status() == OK && !answer.isSealedFor(call.id())) {
      addViolation(call, "was answered by what is not its server's answer");
    } else if (!isStream && answer.isSealed() && !isOfServer(call, answer)) {
      addViolation(call, "got a sealed answer that differs from " + answersTo(call));
    }
    if (answer.status() != OK) {
      return;
    }
    if (call.kind() == Kind.STREAM) {
      checkEvents(call, answer);
    } else if (answer.isComplete() && !isOwnBody(call, answer.body())) {
      addViolation(call, "got the body " + answer.body());
    }
  }

  private List<ServerAnswer> answersTo(CallRecord call) {
    return serverAnswers.getOrDefault(call.id(), List.of());
  }

  /** Returns whether a server gave the answer to the call; its end may be missing if broken off. */
  private boolean isOfServer(CallRecord call, RawHttpClient.Response answer) {
    return answer.isSealedFor(call.id())
        && answersTo(call).stream()
            .filter(given -> given.status() == answer.status())
            .map(ServerAnswer::body)
            .anyMatch(
                body ->
                    answer.isComplete()
                        ? body.equals(answer.body())
                        : body.startsWith(answer.body()));
  }

  private void checkEvents(CallRecord call, RawHttpClient.Response answer) {
    String expected = ServerStandin.eventsAfter(call.afterEvent(), call.id());
    if (answer.isComplete() && !answer.body().equals(expected)) {
      addViolation(call, "looks complete but is not: " + difference(expected, answer.body()));
    } else if (!expected.startsWith(answer.body())) {
      addViolation(
          call,
          "got events that are missing, repeated or out of order: "
              + difference(expected, answer.body()));
    }
  }

  /** Describes the position at which a body first differs from the expected body. */
  private static String difference(String expected, String found) {
    int commonLength = 0;
    while (commonLength < Math.min(expected.length(), found.length())
        && expected.charAt(commonLength) == found.charAt(commonLength)) {
      commonLength++;
    }
    String rest =
        found.substring(
            commonLength, Math.min(found.length(), commonLength + MAX_DIFFERENCE_CHARS));
    return "after " + commonLength + " of " + expected.length() + " characters: " + rest.strip();
  }

  private boolean isOwnBody(CallRecord call, String body) {
    return executionsOf(call).stream()
        .anyMatch(execution -> body.equals(ServerStandin.bodyOf(execution.serverId())));
  }

  /** Checks a key against the configurations that may be in force while its call is in flight. */
  private void checkKey(CallRecord call) {
    List<SoakHistory.AllowedKeys> candidates = new ArrayList<>();
    for (SoakHistory.AllowedKeys keys : history.keys()) {
      if (keys.ackNanos() <= call.sentNanos() - PROPAGATION_LIMIT_NANOS) {
        candidates.clear();
      }
      if (keys.ackNanos() <= call.endNanos()) {
        candidates.add(keys);
      }
    }
    boolean isAllowedByAll =
        candidates.stream().allMatch(keys -> keys.allowed().contains(call.key()));
    boolean isAllowedByNone =
        candidates.stream().noneMatch(keys -> keys.allowed().contains(call.key()));
    boolean isAlwaysAllowed =
        history.keys().stream().allMatch(keys -> keys.allowed().contains(call.key()));
    boolean isUndisturbed =
        isDaemonUndisturbed(call, call.sentNanos() - PROPAGATION_LIMIT_NANOS, call.endNanos());
    if (call.isStatus(UNAUTHENTICATED) && (isAlwaysAllowed || (isUndisturbed && isAllowedByAll))) {
      addViolation(call, "was refused although its key is allowed");
    }
    if (call.isStatus(OK) && isUndisturbed && isAllowedByNone) {
      addViolation(call, "was served although its key had been taken away");
    }
  }

  /** Checks that a call is served if nothing is disturbed, also during planned operations. */
  private void checkUndisturbedCall(CallRecord call) {
    boolean isCloseRace =
        call.outcome() == Outcome.BROKEN_OFF
            && call.answer().isEmpty()
            && executionsOf(call).isEmpty()
            && call.durationNanos() <= CLOSE_RACE_NANOS;
    boolean hasAlwaysAllowedKey = SoakFaults.KEYS.get(0).equals(call.key());
    boolean isServed = call.outcome() == Outcome.ANSWERED && call.isStatus(OK);
    boolean isRefusedByRestartingDaemon =
        call.outcome() == Outcome.ANSWERED
            && call.isStatus(503)
            && history.isDaemonRestarting(call);
    if (hasAlwaysAllowedKey
        && !isResumedAcrossDisturbance(call)
        && !isServed
        && !isCloseRace
        && !isRefusedByRestartingDaemon
        && call.outcome() != Outcome.LEFT) {
      addViolation(call, "was not served although nothing was disturbed");
    }
  }

  /** Where a stream began may be lost with the daemons that knew it; it is refused then. */
  private boolean isResumedAcrossDisturbance(CallRecord call) {
    return call.isStatus(503)
        && call.resumption()
            .flatMap(resumption -> history.call(resumption.stream()))
            .filter(
                first ->
                    !history.disturbances().isFleetUndisturbed(first.sentNanos(), call.endNanos()))
            .isPresent();
  }

  private interface CallCondition {
    boolean holds(CallRecord call);
  }

  private void checkTolerated(String violation, CallCondition condition) {
    List<CallRecord> found = history.calls().stream().filter(condition::holds).toList();
    if (found.size() > MAX_TOLERATED) {
      found.forEach(call -> addViolation(call, violation));
    }
  }

  private boolean isHeldTooLong(CallRecord call) {
    return call.durationNanos() > MAX_CALL_DURATION_NANOS
        && isDaemonUndisturbed(call, call.sentNanos(), call.endNanos());
  }

  private boolean isRunAfterCallerLeft(CallRecord call) {
    return call.outcome() == Outcome.LEFT
        && executionsOf(call).stream()
            .map(execution -> execution.run().startedAtNanos())
            .anyMatch(
                beganNanos ->
                    beganNanos - call.endNanos() > ABANDON_PROPAGATION_NANOS
                        && isDaemonUndisturbed(call, call.sentNanos(), beganNanos));
  }

  private boolean isRunOnTooManyServers(CallRecord call) {
    return executionsOf(call).stream().map(Execution::serverId).distinct().count()
        > call.kind().maxServers;
  }
}
