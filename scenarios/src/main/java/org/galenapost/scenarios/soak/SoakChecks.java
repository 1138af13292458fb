package org.galenapost.scenarios.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.galenapost.scenarios.soak.CallRecord.Outcome;
import org.galenapost.scenarios.soak.CallRecord.Kind;
import org.galenapost.standins.gateway.RawHttpClient;
import org.galenapost.standins.gateway.ServerStandin;
import org.galenapost.standins.gateway.StoreContentWriter;

/** Holds what callers and servers saw against the promises of the gateway. */
final class SoakChecks {

  /** The statuses that promise that a call has not run and never will. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private static final int OK = 200;
  private static final int UNAUTHENTICATED = 401;

  /** When a change of the configuration, or a leaving, is in force on daemons in touch. */
  private static final long IN_FORCE_NANOS = Duration.ofSeconds(2).toNanos();

  /** How late a final answer may be after the route's timeout. */
  private static final long LATEST_ANSWER_NANOS =
      Duration.ofMillis(StoreContentWriter.ROUTE_TIMEOUT_MS + 500).toNanos();

  /** A request that crosses the close of its connection may be lost within this time. */
  private static final long CROSSING_NANOS = Duration.ofMillis(200).toNanos();

  private static final long CALLER_GONE_NANOS = Duration.ofMillis(500).toNanos();

  private static final int DIFFERENCE_SHOWN = 80;

  /** The rules allow a few of these in a day. */
  private static final int FEW = 3;

  private final SoakHistory history;
  private final Map<String, List<Execution>> executions = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  /** One run of a call at a server. */
  private record Execution(String serverId, ServerStandin.Run run) {}

  private SoakChecks(SoakHistory history, Map<String, List<ServerStandin.Run>> runs) {
    this.history = history;
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
   * Returns what broke a promise, one line each.
   *
   * @param history what callers saw and what was done to the fleet
   * @param runs what each instance of a server ran, by its id
   */
  static List<String> violations(SoakHistory history, Map<String, List<ServerStandin.Run>> runs) {
    SoakChecks checks = new SoakChecks(history, runs);
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
    checkFew("was held past its route's timeout", this::isHeldTooLong);
    checkFew("reached a server after its caller had left", this::isRunForNobody);
    checkFew("ran on more servers than its route allows", this::isRunTooOften);
  }

  private List<Execution> executionsOf(CallRecord call) {
    return executions.getOrDefault(call.id(), List.of());
  }

  private void violated(CallRecord call, String what) {
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
            + what);
  }

  private void checkExecutions(CallRecord call, List<Execution> runs) {
    if (call.kind() == Kind.ONCE && runs.size() > 1) {
      violated(call, "ran more than once");
    }
    for (Execution execution : runs) {
      ServerStandin.Run run = execution.run();
      if (run.violatesHeaderPolicy()) {
        violated(call, "reached a server with headers that are not its own");
      }
      if (!run.target().equals(call.kind().prefix + call.id())) {
        violated(call, "reached a server as " + run.target());
      }
      Long leftNanos = history.drainStartNanos().get(execution.serverId());
      boolean isLate = leftNanos != null && run.startedAtNanos() - leftNanos > IN_FORCE_NANOS;
      if (isLate && isCalm(call, leftNanos, run.startedAtNanos())) {
        violated(call, "reached " + execution.serverId() + ", which had said that it leaves");
      }
    }
  }

  private boolean isCalm(CallRecord call, long fromNanos, long toNanos) {
    return history.disturbances().isDaemonUndisturbed(call.daemon(), fromNanos, toNanos);
  }

  private void checkCall(CallRecord call) {
    call.answer().ifPresent(answer -> checkAnswer(call, answer));
    checkKey(call);
    if (history.disturbances().isFleetUndisturbed(call.sentNanos(), call.endNanos())) {
      checkCalmCall(call);
    }
  }

  private void checkAnswer(CallRecord call, RawHttpClient.Response answer) {
    if (NOT_RUN.contains(answer.status()) && !executionsOf(call).isEmpty()) {
      violated(call, "was refused as not run");
    }
    if (answer.status() != OK) {
      return;
    }
    if (!answer.isSealedFor(call.id())) {
      violated(call, "was answered by what is not its server's answer");
    }
    if (call.kind() == Kind.STREAM) {
      checkEvents(call, answer);
    } else if (answer.isComplete() && !isOwnBody(call, answer.body())) {
      violated(call, "got the body " + answer.body());
    }
  }

  private void checkEvents(CallRecord call, RawHttpClient.Response answer) {
    String whole = ServerStandin.eventsAfter(0, call.id());
    if (answer.isComplete() && !answer.body().equals(whole)) {
      violated(call, "looks complete but is not: " + difference(whole, answer.body()));
    } else if (!whole.startsWith(answer.body())) {
      violated(
          call,
          "got events that are missing, repeated or out of order: "
              + difference(whole, answer.body()));
    }
  }

  /** Returns where a body begins to differ from the expected one. */
  private static String difference(String expected, String found) {
    int same = 0;
    while (same < Math.min(expected.length(), found.length())
        && expected.charAt(same) == found.charAt(same)) {
      same++;
    }
    String rest = found.substring(same, Math.min(found.length(), same + DIFFERENCE_SHOWN));
    return "after " + same + " of " + expected.length() + " characters: " + rest.strip();
  }

  private boolean isOwnBody(CallRecord call, String body) {
    return executionsOf(call).stream()
        .anyMatch(execution -> body.equals(ServerStandin.bodyOf(execution.serverId())));
  }

  /** A key is judged by the configurations that may be in force while its call is under way. */
  private void checkKey(CallRecord call) {
    List<SoakHistory.AllowedKeys> possible = new ArrayList<>();
    for (SoakHistory.AllowedKeys keys : history.keys()) {
      if (keys.ackNanos() <= call.sentNanos() - IN_FORCE_NANOS) {
        possible.clear();
      }
      if (keys.ackNanos() <= call.endNanos()) {
        possible.add(keys);
      }
    }
    boolean isAllowed = possible.stream().allMatch(keys -> keys.allowed().contains(call.key()));
    boolean isRefused = possible.stream().noneMatch(keys -> keys.allowed().contains(call.key()));
    boolean isEverAllowed =
        history.keys().stream().allMatch(keys -> keys.allowed().contains(call.key()));
    boolean isCalm = isCalm(call, call.sentNanos() - IN_FORCE_NANOS, call.endNanos());
    if (call.isStatus(UNAUTHENTICATED) && (isEverAllowed || (isCalm && isAllowed))) {
      violated(call, "was refused although its key is allowed");
    }
    if (call.isStatus(OK) && isCalm && isRefused) {
      violated(call, "was served although its key had been taken away");
    }
  }

  /** Without any disturbance, and also around planned work, every call is served. */
  private void checkCalmCall(CallRecord call) {
    boolean isCrossing =
        call.outcome() == Outcome.BROKEN_OFF
            && call.answer().isEmpty()
            && executionsOf(call).isEmpty()
            && call.durationNanos() <= CROSSING_NANOS;
    boolean isKnownKey = SoakFaults.KEYS.get(0).equals(call.key());
    boolean isServed = call.outcome() == Outcome.ANSWERED && call.isStatus(OK);
    boolean isRefusedByLeaver = call.outcome() == Outcome.ANSWERED && call.isStatus(503) && isLeaving(call);
    if (isKnownKey && !isServed && !isCrossing && !isRefusedByLeaver && call.outcome() != Outcome.LEFT) {
      violated(call, "was not served although nothing was disturbed");
    }
  }

  /** A daemon that is told to end may refuse what comes when its time is nearly over. */
  private boolean isLeaving(CallRecord call) {
    return history.terminations().stream()
        .filter(termination -> termination.daemon() == call.daemon())
        .anyMatch(
            termination ->
                termination.signalNanos() <= call.endNanos()
                    && call.sentNanos() - termination.signalNanos() <= SoakDaemon.TERMINATION_GRACE.toNanos());
  }

  private interface CallCondition {
    boolean holds(CallRecord call);
  }

  private void checkFew(String what, CallCondition condition) {
    List<CallRecord> found = history.calls().stream().filter(condition::holds).toList();
    if (found.size() > FEW) {
      found.forEach(call -> violated(call, what));
    }
  }

  private boolean isHeldTooLong(CallRecord call) {
    return call.durationNanos() > LATEST_ANSWER_NANOS
        && isCalm(call, call.sentNanos(), call.endNanos());
  }

  private boolean isRunForNobody(CallRecord call) {
    return call.outcome() == Outcome.LEFT
        && executionsOf(call).stream()
            .map(execution -> execution.run().startedAtNanos())
            .anyMatch(
                beganNanos ->
                    beganNanos - call.endNanos() > CALLER_GONE_NANOS
                        && isCalm(call, call.sentNanos(), beganNanos));
  }

  private boolean isRunTooOften(CallRecord call) {
    return executionsOf(call).stream().map(Execution::serverId).distinct().count()
        > call.kind().maxServers;
  }
}
