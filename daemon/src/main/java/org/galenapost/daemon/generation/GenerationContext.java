package org.galenapost.daemon.generation;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.galenapost.core.directory.RunningGenerations;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.generation.ResumeHandleCodec;
import org.galenapost.core.recovery.RetryAllowance;
import org.galenapost.core.routing.Router;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.engine.EngineClient;

/**
 * The services and settings that all generations of a daemon share.
 *
 * @param engines the client of the engines
 * @param router selects an engine for each attempt
 * @param serverLookup finds an engine by its server id
 * @param retryAllowance the budget of additional attempts
 * @param handleCodec encodes and decodes resume handles
 * @param directory finds generations that are already running
 * @param mechanisms the replaceable mechanisms
 * @param observer is notified of events for metrics
 * @param generationIds creates ids of new generations
 * @param detachedRetention how long engines keep a generation without a connected reader
 * @param clock the clock for elapsed time
 * @param wallClock the clock for the time of day
 * @param scheduler the scheduler of delayed tasks
 * @param random the thread-safe source of random numbers
 */
public record GenerationContext(
    EngineClient engines,
    Router router,
    Function<String, Optional<BackendServer>> serverLookup,
    RetryAllowance retryAllowance,
    ResumeHandleCodec handleCodec,
    RunningGenerations directory,
    GenerationMechanisms mechanisms,
    GenerationObserver observer,
    Supplier<String> generationIds,
    Duration detachedRetention,
    MonotonicClock clock,
    InstantSource wallClock,
    Scheduler scheduler,
    RandomGenerator random) {}
