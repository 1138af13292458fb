package org.galenapost.scenarios.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.scenarios.soak.CallRecord.Outcome;
import org.galenapost.scenarios.soak.SoakFaults.Fault;
import org.galenapost.standins.gateway.LateCopyForm;
import org.galenapost.standins.gateway.ServerStandin;

/** Runs one soak: rounds of overlapping faults, a settle time and planned operations. */
public final class GatewaySoak {

  private static final String LOG_FILE = "soak.log";
  private static final int FAULTS_PER_ROUND = 12;
  private static final int MIN_FAULT_MS = 200;
  private static final int MAX_FAULT_MS = 2_500;
  private static final int PLANNED_ACTIONS_PER_PHASE = 5;
  private static final int BUSY_CALLERS = 12;
  private static final long RESTORE_SEED_FACTOR = 31;
  private static final long FULL_SERVERS_SEED_FACTOR = 37;
  private static final long BROKEN_ANSWERS_SEED_FACTOR = 41;
  private static final long LOSS_OF_ALL_SEED_FACTOR = 43;
  private static final long MIXED_ANSWERS_SEED_FACTOR = 47;
  private static final double MAX_LATE_COPY_SHARE = 0.3;
  private static final double MAX_MIXED_SHARE = 0.5;
  private static final double MAX_UNDELIMITED_SHARE = 0.4;

  /** Starting or ending a fault takes milliseconds, so a few threads keep the schedule. */
  private static final int SCHEDULER_THREADS = 4;

  /** The settle time of {@link Disturbances} plus a margin. */
  private static final Duration SETTLE_TIME = Duration.ofMillis(3_500);

  /** The time allowed for calls in flight to complete at the end of a soak. */
  private static final Duration CALL_COMPLETION_TIME = Duration.ofSeconds(8);

  /** If this process pauses this long, the daemons are assumed to have been paused as well. */
  private static final Duration STALL_THRESHOLD = Duration.ofMillis(300);

  private static final Duration STALL_CHECK_INTERVAL = Duration.ofMillis(50);

  private final SoakOptions options;
  private final Random random;
  private final SoakHistory history;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(SCHEDULER_THREADS);
  private volatile boolean mustStop;
  private final AtomicInteger faultCount = new AtomicInteger();

  private GatewaySoak(SoakOptions options, SoakHistory history) {
    this.options = options;
    this.history = history;
    this.random = new Random(options.seed());
  }

  /** Runs a soak and returns its result. */
  public static SoakResult run(SoakOptions options) {
    Path folder = options.folder().resolve("seed-" + options.seed());
    createEmptyFolder(folder);
    try (PrintWriter logWriter =
        new PrintWriter(Files.newBufferedWriter(folder.resolve(LOG_FILE)), true)) {
      return new GatewaySoak(options, new SoakHistory(logWriter)).run(folder);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the log file of the soak", e);
    }
  }

  private SoakResult run(Path folder) {
    try (SoakFleet fleet = new SoakFleet(folder, options.daemons())) {
      SoakFaults soakFaults = new SoakFaults(fleet, history, executor);
      soakFaults.changeKeys(random);
      fleet.startDaemons();
      Disturbances.Disturbance startup = history.disturbances().begin(Disturbances.ALL);
      startup.end();
      startCallers(fleet);
      executor.execute(this::watchForStalls);
      for (int round = 0; round < options.rounds(); round++) {
        runMixedAnswersPhase(fleet, soakFaults, round);
        scheduleRestore(soakFaults, round);
        scheduleFullServers(soakFaults, round);
        scheduleBrokenAnswers(soakFaults, round);
        scheduleLossOfAllDaemons(soakFaults, round);
        runFaultPhase(soakFaults);
        pause(SETTLE_TIME);
        runPlannedWorkPhase(soakFaults);
        pause(SoakDaemon.TERMINATION_GRACE.minus(SoakOptions.PLANNED_WORK_PHASE));
      }
      mustStop = true;
      pause(CALL_COMPLETION_TIME);
      checkDaemons(fleet);
      return result(fleet);
    } finally {
      mustStop = true;
      scheduler.shutdownNow();
      executor.shutdownNow();
    }
  }

  private static void createEmptyFolder(Path folder) {
    try {
      Files.createDirectories(folder);
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException("cannot create or empty the soak folder " + folder, e);
    }
  }

  private void startCallers(SoakFleet fleet) {
    for (int i = 0; i < options.callers(); i++) {
      executor.execute(
          new SoakCaller(
              "s" + options.seed() + "-c" + i,
              random.nextLong(),
              fleet.callerPorts(),
              SoakFaults.KEYS,
              SoakCaller.Pace.USUAL,
              () -> mustStop,
              history::onCall));
    }
  }

  /**
   * Lets servers mix failures and late copies, with nothing else disturbed and with callers that
   * keep connections to the servers in use. Draws from a source of its own.
   */
  private void runMixedAnswersPhase(SoakFleet fleet, SoakFaults soakFaults, int round) {
    Random ownRandom = new Random(options.seed() * MIXED_ANSWERS_SEED_FACTOR + round);
    double copyShare = MAX_MIXED_SHARE * (1 + ownRandom.nextDouble()) / 2;
    double failureShare = MAX_MIXED_SHARE * (1 + ownRandom.nextDouble()) / 2;
    Runnable end = soakFaults.mixAnswers(copyShare, failureShare, lateCopyForms(round));
    long endNanos = System.nanoTime() + SoakOptions.MIXED_ANSWERS_PHASE.toNanos();
    for (int i = 0; i < BUSY_CALLERS; i++) {
      executor.execute(
          new SoakCaller(
              "s" + options.seed() + "-r" + round + "-b" + i,
              ownRandom.nextLong(),
              fleet.callerPorts(),
              SoakFaults.KEYS.subList(0, 1),
              SoakCaller.Pace.BUSY,
              () -> mustStop || System.nanoTime() - endNanos > 0,
              history::onCall));
    }
    pause(SoakOptions.MIXED_ANSWERS_PHASE);
    end.run();
  }

  /** Returns all forms, rotated so that a service's servers play all of them in two rounds. */
  private List<LateCopyForm> lateCopyForms(int round) {
    List<LateCopyForm> forms = new ArrayList<>(List.of(LateCopyForm.values()));
    Collections.shuffle(forms, new Random(options.seed() * MIXED_ANSWERS_SEED_FACTOR));
    Collections.rotate(forms, round * SoakFleet.SERVERS_PER_SERVICE);
    return forms;
  }

  /** Records each pause of this process as a disturbance of all daemons. */
  private void watchForStalls() {
    long lastNanos = System.nanoTime();
    while (!mustStop) {
      pause(STALL_CHECK_INTERVAL);
      long nowNanos = System.nanoTime();
      if (nowNanos - lastNanos > STALL_THRESHOLD.toNanos()) {
        history.disturbances().beginAt(Disturbances.ALL, lastNanos).end();
      }
      lastNanos = nowNanos;
    }
  }

  /**
   * Schedules faults and planned operations at random times and waits for the end of the phase.
   * Faults may overlap, also those of one target.
   */
  private void runFaultPhase(SoakFaults soakFaults) {
    Fault[] kinds = Fault.values();
    for (int i = 0; i < FAULTS_PER_ROUND; i++) {
      Fault fault = kinds[random.nextInt(kinds.length)];
      int durationMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
      int delayMs = random.nextInt((int) SoakOptions.FAULT_PHASE.toMillis() - MAX_FAULT_MS);
      Random ownRandom = new Random(random.nextLong());
      schedule(delayMs, () -> beginFault(soakFaults, fault, durationMs, ownRandom));
    }
    for (int i = 0; i < PLANNED_ACTIONS_PER_PHASE; i++) {
      schedule(
          random.nextInt((int) SoakOptions.FAULT_PHASE.toMillis()),
          randomPlannedAction(soakFaults));
    }
    pause(SoakOptions.FAULT_PHASE);
  }

  /** Draws from a source of its own, so that the other faults of a seed stay as they were. */
  private void scheduleRestore(SoakFaults soakFaults, int round) {
    Random restoreRandom = new Random(options.seed() * RESTORE_SEED_FACTOR + round);
    int delayMs = restoreRandom.nextInt((int) SoakOptions.FAULT_PHASE.toMillis());
    schedule(delayMs, () -> soakFaults.restoreStore(restoreRandom));
  }

  /** Draws from a source of its own, as the restore does. */
  private void scheduleFullServers(SoakFaults soakFaults, int round) {
    Random ownRandom = new Random(options.seed() * FULL_SERVERS_SEED_FACTOR + round);
    double copyShare = MAX_LATE_COPY_SHARE * ownRandom.nextDouble();
    int delayMs = ownRandom.nextInt((int) SoakOptions.FAULT_PHASE.toMillis() - MAX_FAULT_MS);
    schedule(
        delayMs,
        () -> {
          Runnable end = soakFaults.fillServers(copyShare);
          schedule(MAX_FAULT_MS, end);
        });
  }

  private void scheduleBrokenAnswers(SoakFaults soakFaults, int round) {
    Random ownRandom = new Random(options.seed() * BROKEN_ANSWERS_SEED_FACTOR + round);
    double share = MAX_UNDELIMITED_SHARE * ownRandom.nextDouble();
    int delayMs = ownRandom.nextInt((int) SoakOptions.FAULT_PHASE.toMillis() - MAX_FAULT_MS);
    schedule(delayMs, () -> schedule(MAX_FAULT_MS, soakFaults.breakAnswers(share)));
  }

  private void scheduleLossOfAllDaemons(SoakFaults soakFaults, int round) {
    Random ownRandom = new Random(options.seed() * LOSS_OF_ALL_SEED_FACTOR + round);
    int delayMs = ownRandom.nextInt((int) SoakOptions.FAULT_PHASE.toMillis() - MAX_FAULT_MS);
    int durationMs = MIN_FAULT_MS + ownRandom.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
    schedule(delayMs, () -> schedule(durationMs, soakFaults.killAllDaemons()));
  }

  private void beginFault(SoakFaults soakFaults, Fault fault, int durationMs, Random ownRandom) {
    faultCount.incrementAndGet();
    Runnable endFault = soakFaults.begin(fault, ownRandom);
    schedule(durationMs, endFault);
  }

  private void runPlannedWorkPhase(SoakFaults soakFaults) {
    int phaseMs = (int) SoakOptions.PLANNED_WORK_PHASE.toMillis();
    for (int i = 0; i < PLANNED_ACTIONS_PER_PHASE; i++) {
      schedule(random.nextInt(phaseMs), randomPlannedAction(soakFaults));
    }
    pause(SoakOptions.PLANNED_WORK_PHASE);
  }

  private Runnable randomPlannedAction(SoakFaults soakFaults) {
    Random ownRandom = new Random(random.nextLong());
    return switch (random.nextInt(4)) {
      case 0 -> () -> soakFaults.changeKeys(ownRandom);
      case 1 -> () -> soakFaults.replaceServer(ownRandom);
      case 2 -> () -> soakFaults.sendSighup(ownRandom);
      default -> () -> soakFaults.restartDaemon(ownRandom);
    };
  }

  private void schedule(int delayMs, Runnable action) {
    scheduler.schedule(() -> runRecordingFailure(action), delayMs, TimeUnit.MILLISECONDS);
  }

  private void runRecordingFailure(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      history.onFailure("the soak itself failed: " + e);
    }
  }

  private static void pause(Duration duration) {
    ManagedProcess.pause(duration);
  }

  private void checkDaemons(SoakFleet fleet) {
    for (SoakDaemon daemon : fleet.daemons()) {
      if (daemon.hasExitedUnexpectedly()) {
        history.onFailure(daemon + " ended by itself");
      } else if (!daemon.isReady()) {
        history.onFailure(daemon + " is not ready although everything has settled");
      }
    }
  }

  private SoakResult result(SoakFleet fleet) {
    List<CallRecord> calls = new ArrayList<>(history.calls());
    long answered = calls.stream().filter(call -> call.outcome() == Outcome.ANSWERED).count();
    long undisturbed =
        calls.stream()
            .filter(
                call ->
                    history.disturbances().isFleetUndisturbed(call.sentNanos(), call.endNanos()))
            .count();
    Map<String, List<ServerStandin.Run>> runs = fleet.runs();
    List<CallRecord> resumed =
        calls.stream().filter(call -> call.resumption().isPresent()).toList();
    Set<String> ranCalls =
        runs.values().stream()
            .flatMap(List::stream)
            .map(ServerStandin.Run::callId)
            .collect(Collectors.toSet());
    long wentOn = resumed.stream().filter(call -> ranCalls.contains(call.id())).count();
    int runCount = runs.values().stream().mapToInt(List::size).sum();
    List<String> violations = SoakChecks.violations(history, runs, fleet.answers());
    return new SoakResult(
        options.seed(),
        calls.size(),
        (int) answered,
        (int) undisturbed,
        resumed.size(),
        (int) wentOn,
        runCount,
        faultCount.get(),
        violations);
  }
}
