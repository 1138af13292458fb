package org.galenapost.scenarios.naive;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.galenapost.core.directory.RunningGenerations;
import org.galenapost.core.generation.GenerationService;
import org.galenapost.core.loss.LossSettings;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.daemon.engine.EngineClient;
import org.galenapost.daemon.generation.Continuation;
import org.galenapost.daemon.generation.GenerationMechanisms;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.lifecycle.DrainSequence;
import org.galenapost.daemon.wiring.Mechanisms;

/** The naive versions by the name that scenario files use. */
final class NaiveMechanisms {

  private static final Duration NEVER = Duration.ofHours(1);
  private static final Duration FIXED_TIMEOUT = Duration.ofSeconds(2);
  private static final Map<String, Mechanisms> MECHANISMS_BY_NAME = mechanismsByName();

  private NaiveMechanisms() {}

  /** Returns the mechanisms with one replaced, or empty if the name is unknown. */
  static Optional<Mechanisms> find(String name) {
    return Optional.ofNullable(MECHANISMS_BY_NAME.get(name));
  }

  /** Returns the known names in one line. */
  static String names() {
    return String.join(", ", MECHANISMS_BY_NAME.keySet());
  }

  private static Map<String, Mechanisms> mechanismsByName() {
    Mechanisms standard = Mechanisms.standard();
    Map<String, Mechanisms> mechanisms = new TreeMap<>();
    mechanisms.put(
        "resume",
        standard.with(
            EngineClient.class, (shipped, context) -> new SingleAttemptEngineClient(shipped)));
    mechanisms.put(
        "reattach",
        standard.with(
            GenerationService.class,
            (shipped, context) -> new RestartingGenerationService(shipped)));
    mechanisms.put(
        "offset-check",
        standard.with(
            EngineClient.class, (shipped, context) -> new ArrivalOrderEngineClient(shipped)));
    mechanisms.put(
        "loss-detection",
        standard.with(
            GenerationMechanisms.class, (shipped, context) -> shipped.withLoss(neverLost())));
    mechanisms.put(
        "adaptive-gap",
        standard.with(
            GenerationMechanisms.class, (shipped, context) -> shipped.withLoss(fixedTimeout())));
    mechanisms.put(
        "continuation",
        standard.with(
            GenerationMechanisms.class,
            (shipped, context) -> shipped.withContinuation(Continuation.FROM_START)));
    mechanisms.put(
        "stall-guard",
        standard.with(
            GenerationMechanisms.class,
            (shipped, context) -> shipped.withStallGuard(StallGuard.NONE)));
    mechanisms.put(
        "quarantine",
        standard.with(
            GenerationMechanisms.class,
            (shipped, context) -> shipped.withRequestGuard(RequestGuard.NONE)));
    mechanisms.put(
        "directory",
        standard.with(RunningGenerations.class, (shipped, context) -> RunningGenerations.NONE));
    mechanisms.put(
        "graceful-shutdown",
        standard.with(DrainSequence.class, (shipped, context) -> immediateShutdown()));
    mechanisms.putAll(NaiveLoadControl.mechanismsByName());
    mechanisms.putAll(NaiveCoordination.mechanismsByName());
    return mechanisms;
  }

  private static LossSettings neverLost() {
    return new LossSettings(NEVER, NEVER, 1, NEVER, NEVER, NEVER, NEVER);
  }

  private static LossSettings fixedTimeout() {
    return new LossSettings(
        FIXED_TIMEOUT,
        FIXED_TIMEOUT,
        1,
        FIXED_TIMEOUT,
        Duration.ofMillis(1),
        FIXED_TIMEOUT,
        FIXED_TIMEOUT);
  }

  private static DrainSequence immediateShutdown() {
    return new DrainSequence(
        new DaemonState(() -> true),
        Duration.ZERO,
        Duration.ZERO,
        () -> {},
        () -> CompletableFuture.completedFuture(null),
        () -> 0);
  }
}
