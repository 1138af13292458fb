package org.galenapost.daemon.wiring;

import java.time.InstantSource;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.lifecycle.PendingWork;
import org.galenapost.daemon.metrics.DaemonMetrics;
import org.galenapost.daemon.net.EventLoops;
import org.galenapost.daemon.net.HttpClients;
import org.galenapost.daemon.operator.OperatorRoutes;
import org.galenapost.daemon.settings.Settings;
import org.galenapost.daemon.time.EventLoopScheduler;

/**
 * The shared objects from which the parts of a daemon are built.
 *
 * @param settings the settings
 * @param clock the monotonic clock
 * @param time the time of day
 * @param random the source of random numbers; safe for use by several threads
 * @param eventLoops the event loops of all connections
 * @param scheduler runs delayed tasks on the event loops
 * @param clients the HTTP clients
 * @param metrics the metrics of this daemon
 * @param routes the routes of the operator port, to which each part adds its own
 * @param pendingWork the work that a drain waits for in addition to the exchanges in progress
 */
public record DaemonContext(
    Settings settings,
    MonotonicClock clock,
    InstantSource time,
    RandomGenerator random,
    EventLoops eventLoops,
    Scheduler scheduler,
    HttpClients clients,
    DaemonMetrics metrics,
    OperatorRoutes routes,
    PendingWork pendingWork) {

  /** Creates a context with the system clocks and new event loops. */
  static DaemonContext of(Settings settings) {
    EventLoops eventLoops = new EventLoops(settings.daemon().eventLoopThreads());
    return new DaemonContext(
        settings,
        MonotonicClock.system(),
        InstantSource.system(),
        () -> ThreadLocalRandom.current().nextLong(),
        eventLoops,
        new EventLoopScheduler(eventLoops.group()),
        new HttpClients(eventLoops.group(), settings.timings().connectTimeout()),
        new DaemonMetrics(),
        new OperatorRoutes(),
        new PendingWork());
  }
}
