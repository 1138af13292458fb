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

/** Finds naive versions of mechanisms by the names that scenario files use. */
final class NaiveMechanisms {

  private static final Duration NEVER = Duration.ofHours(1);
  private static final Duration FIXED_TIMEOUT = Duration.ofSeconds(2);
  private static final Map<String, Mechanisms> MECHANISMS_BY_NAME = mechanismsByName();

  private NaiveMechanisms() {}

  /** Returns the mechanisms with the named one replaced, or empty if the name is unknown. */
  static Optional<Mechanisms> find(String name) {
    return Optional.ofNullable(MECHANISMS_BY_NAME.get(name));
  }

  /** Returns the known names, separated by commas. */
  static String names() {
    return String.join(", ", MECHANISMS_BY_NAME.keySet());
  }

  private static Map<String, Mechanisms> mechanismsByName() {
    Mechanisms standard = Mechanisms.standard();
    Map<String, Mechanisms> mechanisms = new TreeMap<>();
    mechanisms.put(
        "resume",
        standard.with(
            EngineClient.class, (original, context) -> new SingleAttemptEngineClient(original)));
    mechanisms.put(
        "reattach",
        standard.with(
            GenerationService.class,
            (original, context) -> new RestartingGenerationService(original)));
    mechanisms.put(
        "offset-check",
        standard.with(
            EngineClient.class, (original, context) -> new ArrivalOrderEngineClient(original)));
    mechanisms.put(
        "loss-detection",
        standard.with(
            GenerationMechanisms.class, (original, context) -> original.withLoss(neverLost())));
    mechanisms.put(
        "adaptive-gap",
        standard.with(
            GenerationMechanisms.class, (original, context) -> original.withLoss(fixedTimeout())));
    mechanisms.put(
        "continuation",
        standard.with(
            GenerationMechanisms.class,
            (original, context) -> original.withContinuation(Continuation.FROM_START)));
    mechanisms.put(
        "stall-guard",
        standard.with(
            GenerationMechanisms.class,
            (original, context) -> original.withStallGuard(StallGuard.NONE)));
    mechanisms.put(
        "quarantine",
        standard.with(
            GenerationMechanisms.class,
            (original, context) -> original.withRequestGuard(RequestGuard.NONE)));
    mechanisms.put(
        "directory",
        standard.with(RunningGenerations.class, (original, context) -> RunningGenerations.NONE));
    mechanisms.put(
        "graceful-shutdown",
        standard.with(DrainSequence.class, (original, context) -> immediateShutdown()));
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
