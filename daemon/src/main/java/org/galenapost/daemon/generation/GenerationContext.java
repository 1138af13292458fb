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
 * What generations are run with.
 *
 * @param engines speaks to engines
 * @param router chooses engines
 * @param serverLookup finds an engine by id
 * @param retryAllowance grants additional attempts
 * @param handleCodec writes and reads resume handles
 * @param directory finds generations that run already
 * @param mechanisms the replaceable mechanisms
 * @param observer counts
 * @param generationIds draws ids of new generations
 * @param detachedRetention how long engines keep a generation without a reader
 * @param clock elapsed time
 * @param wallClock the time of day
 * @param scheduler runs delayed tasks
 * @param random the source of random numbers; safe for use by several threads
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
