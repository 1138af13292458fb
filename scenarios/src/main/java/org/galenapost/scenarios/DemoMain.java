package org.galenapost.scenarios;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.galenapost.scenarios.client.Answer;
import org.galenapost.scenarios.client.CallerClient;
import org.galenapost.scenarios.client.CompletionCall;
import org.galenapost.scenarios.client.ControlClient;
import org.galenapost.scenarios.fleet.RunningFleet;
import org.galenapost.scenarios.language.FleetSpec;
import org.galenapost.scenarios.language.Scenario;
import org.galenapost.scenarios.language.ScenarioReader;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.scenarios.run.AnswerChecker;

/**
 * The program {@code galenapost-demo}. It starts a small fleet on loopback, kills the engine that
 * serves a generation in flight, sends one action through two daemons with the same idempotency key
 * and prints the results.
 */
public final class DemoMain {

  private static final int MAX_TOKENS = 300;
  private static final int TOKENS_BEFORE_KILL = MAX_TOKENS / 2;
  private static final long SEED = 7;
  private static final long MAX_GAP_MS = 5_000;
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
  private static final String SERVICE = "quotes";
  private static final String IDEMPOTENCY_KEY = "quote-4711";
  private static final int EXIT_FAILED = 1;

  private final RunningFleet fleet;
  private final FleetSpec spec;
  private final CallerClient caller;
  private final ControlClient control = new ControlClient();

  private DemoMain(RunningFleet fleet, FleetSpec spec, CallerClient caller) {
    this.fleet = fleet;
    this.spec = spec;
    this.caller = caller;
  }

  /**
   * Runs the demonstration and exits with 0 if both checks passed, otherwise with 1.
   *
   * @param arguments the path of the fleet file
   * @throws IOException if the fleet file or the work folder is not accessible
   */
  public static void main(String[] arguments) throws IOException {
    Scenario scenario = ScenarioReader.read(Path.of(arguments[0]));
    Path folder = Files.createTempDirectory("galenapost-demo");
    System.out.println(
        "starting the platform, engines, a plain service and two daemons on loopback");
    boolean allPassed;
    try (RunningFleet fleet = RunningFleet.start(scenario.fleet(), folder, Optional.empty());
        CallerClient caller = new CallerClient()) {
      DemoMain demo = new DemoMain(fleet, scenario.fleet(), caller);
      boolean generationPassed = demo.demonstrateGeneration();
      boolean actionPassed = demo.demonstrateAction();
      allPassed = generationPassed && actionPassed;
    }
    System.out.println(allPassed ? "all checks passed" : "at least one check failed, see above");
    System.exit(allPassed ? 0 : EXIT_FAILED);
  }

  private boolean demonstrateGeneration() {
    CompletionCall call =
        new CompletionCall(
            List.of(fleet.callerAddress("d1")),
            fleet.workspaceKey(Optional.empty()),
            Optional.empty(),
            Optional.empty(),
            "m1",
            "draft a cue sheet",
            SEED,
            MAX_TOKENS,
            false);
    Answer answer = caller.sendCompletion("generation", call);
    awaitTokens(answer, TOKENS_BEFORE_KILL);
    String engine = servingEngine();
    fleet.process(engine).kill();
    System.out.printf("killed engine %s after %d tokens%n", engine, answer.tokens().size());
    awaitEnd(answer);
    Optional<String> fault = AnswerChecker.checkWholeAnswer(call, answer, Optional.of(MAX_GAP_MS));
    System.out.printf(
        "generation: %d tokens, %s, resume latency %d ms%n",
        answer.tokens().size(),
        fault.orElse("each token arrived once and in order"),
        answer.longestGapMs());
    return fault.isEmpty();
  }

  private String servingEngine() {
    return spec.engines().stream()
        .map(FleetSpec.EngineSpec::id)
        .filter(id -> countRequests(id) > 0)
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalStateException(
                    "expected an engine to serve the generation, but none received a request"));
  }

  private long countRequests(String engine) {
    String url = fleet.standinUrl(engine) + "/standin/counts";
    return control.get(url).json().path("requests").asLong();
  }

  private boolean demonstrateAction() {
    Answer first = callQuoteService("first", "d1");
    awaitEnd(first);
    Answer second = callQuoteService("second", "d2");
    awaitEnd(second);
    String url = fleet.standinUrl("s1") + "/standin/runs";
    int runs = control.get(url).json().path(IDEMPOTENCY_KEY).asInt();
    System.out.printf(
        "action: sent through d1 (status %d) and d2 (status %d), ran %d time(s)%n",
        first.status(), second.status(), runs);
    return runs == 1 && first.status() == second.status();
  }

  private Answer callQuoteService(String name, String daemon) {
    return caller.callService(
        name,
        fleet.callerAddress(daemon),
        fleet.workspaceKey(Optional.empty()),
        SERVICE,
        "{\"song\":\"Galena\",\"seconds\":30}",
        Optional.of(IDEMPOTENCY_KEY),
        Optional.of("quote"));
  }

  private static void awaitTokens(Answer answer, int tokens) {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (answer.tokens().size() < tokens && !answer.isEnded() && isBefore(deadlineNanos)) {
      ManagedProcess.pause(POLL_INTERVAL);
    }
  }

  private static void awaitEnd(Answer answer) {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (!answer.isEnded() && isBefore(deadlineNanos)) {
      ManagedProcess.pause(POLL_INTERVAL);
    }
  }

  private static boolean isBefore(long deadlineNanos) {
    return System.nanoTime() < deadlineNanos;
  }
}
