package org.galenapost.core.rollout;

import java.time.InstantSource;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * What roll-outs need of their daemon.
 *
 * @param ownId the id of this daemon
 * @param bus reaches all other daemons
 * @param clock measures leases and time limits
 * @param timeOfDay tells when a roll-out began
 * @param scheduler runs the periodic work
 * @param random chooses offsets and the number of this start
 * @param isKnownService whether the configuration in force has a service of a name
 * @param runningVersions returns the versions of a service's servers, that of most servers first
 * @param listener notified of stages and writes
 */
public record RolloutEnvironment(
    String ownId,
    PeerBus bus,
    MonotonicClock clock,
    InstantSource timeOfDay,
    Scheduler scheduler,
    RandomSource random,
    Predicate<String> isKnownService,
    Function<String, List<String>> runningVersions,
    RolloutListener listener) {}
