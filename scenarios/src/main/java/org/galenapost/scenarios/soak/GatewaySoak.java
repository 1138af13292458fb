package org.galenapost.scenarios.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.galenapost.scenarios.process.ManagedProcess;
import org.galenapost.scenarios.soak.CallRecord.Outcome;
import org.galenapost.scenarios.soak.SoakFaults.Fault;
import org.galenapost.standins.gateway.ServerStandin;

/** Runs one soak: rounds of faults that overlap, a calm time, and planned work. */
public final class GatewaySoak {

  private static final String LOG = "soak.log";
  private static final int FAULTS_PER_ROUND = 12;
  private static final int MIN_FAULT_MS = 200;
  private static final int MAX_FAULT_MS = 2_500;
  private static final int PLANNED_PER_ROUND = 5;

  /** Signals and switches take milliseconds; a few at a time keep to their moments. */
  private static final int TIMELINE_THREADS = 4;

  /** The time until everything that was disturbed has settled, with a margin over the rules'. */
  private static final Duration SETTLING = Duration.ofMillis(3_500);

  /** The longest that calls under way may last. */
  private static final Duration CALLS_END = Duration.ofSeconds(8);

  /** A pause of this runner that long says that the machine stood still for the daemons as well. */
  private static final Duration STALL = Duration.ofMillis(300);

  private static final Duration STALL_CHECK = Duration.ofMillis(50);

  private final SoakOptions options;
  private final Random random;
  private final SoakHistory history;
  private final ExecutorService work = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timeline =
      Executors.newScheduledThreadPool(TIMELINE_THREADS);
  private volatile boolean mustStop;
  private final AtomicInteger faults = new AtomicInteger();

  private GatewaySoak(SoakOptions options, SoakHistory history) {
    this.options = options;
    this.history = history;
    this.random = new Random(options.seed());
  }

  /** Runs a soak and returns what it found. */
  public static SoakResult run(SoakOptions options) {
    Path folder = options.folder().resolve("seed-" + options.seed());
    newFolder(folder);
    try (PrintWriter log = new PrintWriter(Files.newBufferedWriter(folder.resolve(LOG)), true)) {
      return new GatewaySoak(options, new SoakHistory(log)).run(folder);
    } catch (IOException e) {
      throw new UncheckedIOException("the log of a soak cannot be written", e);
    }
  }

  private SoakResult run(Path folder) {
    try (SoakFleet fleet = new SoakFleet(folder, options.daemons())) {
      SoakFaults soakFaults = new SoakFaults(fleet, history, work);
      soakFaults.changeKeys(random);
      fleet.startDaemons();
      Disturbances.Disturbance start = history.disturbances().begin(Disturbances.ALL);
      start.end();
      startCallers(fleet);
      work.execute(this::watchForStalls);
      for (int round = 0; round < options.rounds(); round++) {
        disturb(soakFaults);
        pause(SETTLING);
        planWork(soakFaults);
        pause(SoakDaemon.TERMINATION_GRACE.minus(SoakOptions.PLANNED_WORK_PHASE));
      }
      mustStop = true;
      pause(CALLS_END);
      checkDaemons(fleet);
      return result(fleet);
    } finally {
      mustStop = true;
      timeline.shutdownNow();
      work.shutdownNow();
    }
  }

  private static void newFolder(Path folder) {
    try {
      Files.createDirectories(folder);
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException("folder " + folder + " cannot be used", e);
    }
  }

  private void startCallers(SoakFleet fleet) {
    for (int i = 0; i < options.callers(); i++) {
      work.execute(
          new SoakCaller(
              "s" + options.seed() + "-c" + i,
              random.nextLong(),
              fleet.callerPorts(),
              SoakFaults.KEYS,
              () -> mustStop,
              history::onCall));
    }
  }

  /** Counts a time in which this process did not run as a disturbance of everything. */
  private void watchForStalls() {
    long lastNanos = System.nanoTime();
    while (!mustStop) {
      pause(STALL_CHECK);
      long nowNanos = System.nanoTime();
      if (nowNanos - lastNanos > STALL.toNanos()) {
        history.disturbances().beginAt(Disturbances.ALL, lastNanos).end();
      }
      lastNanos = nowNanos;
    }
  }

  /** Begins faults at random moments; those of one kind of target may overlap. */
  private void disturb(SoakFaults soakFaults) {
    Fault[] kinds = Fault.values();
    for (int i = 0; i < FAULTS_PER_ROUND; i++) {
      Fault fault = kinds[random.nextInt(kinds.length)];
      int lastsMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
      int atMs = random.nextInt((int) SoakOptions.FAULT_PHASE.toMillis() - MAX_FAULT_MS);
      Random own = new Random(random.nextLong());
      at(atMs, () -> begin(soakFaults, fault, lastsMs, own));
    }
    for (int i = 0; i < PLANNED_PER_ROUND; i++) {
      at(random.nextInt((int) SoakOptions.FAULT_PHASE.toMillis()), plannedWork(soakFaults));
    }
    pause(SoakOptions.FAULT_PHASE);
  }

  private void begin(SoakFaults soakFaults, Fault fault, int lastsMs, Random own) {
    faults.incrementAndGet();
    Runnable end = soakFaults.begin(fault, own);
    at(lastsMs, end);
  }

  private void planWork(SoakFaults soakFaults) {
    int lastMs = (int) SoakOptions.PLANNED_WORK_PHASE.toMillis();
    for (int i = 0; i < PLANNED_PER_ROUND; i++) {
      at(random.nextInt(lastMs), plannedWork(soakFaults));
    }
    pause(SoakOptions.PLANNED_WORK_PHASE);
  }

  private Runnable plannedWork(SoakFaults soakFaults) {
    Random own = new Random(random.nextLong());
    return switch (random.nextInt(4)) {
      case 0 -> () -> soakFaults.changeKeys(own);
      case 1 -> () -> soakFaults.replaceServer(own);
      case 2 -> () -> soakFaults.sendSighup(own);
      default -> () -> soakFaults.restartDaemon(own);
    };
  }

  private void at(int delayMs, Runnable action) {
    timeline.schedule(() -> guarded(action), delayMs, TimeUnit.MILLISECONDS);
  }

  private void guarded(Runnable action) {
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
    long calm =
        calls.stream()
            .filter(call -> history.disturbances().isFleetUndisturbed(call.sentNanos(), call.endNanos()))
            .count();
    Map<String, List<ServerStandin.Run>> runs = fleet.runs();
    int runCount = runs.values().stream().mapToInt(List::size).sum();
    List<String> violations = SoakChecks.violations(history, runs);
    return new SoakResult(
        options.seed(),
        calls.size(),
        (int) answered,
        (int) calm,
        runCount,
        faults.get(),
        violations);
  }
}
