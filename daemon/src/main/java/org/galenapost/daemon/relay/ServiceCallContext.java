package org.galenapost.daemon.relay;

import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.routing.Router;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.lifecycle.PendingWork;

/**
 * The collaborators that all runs of service calls share.
 *
 * @param router chooses servers
 * @param retries decides whether a failed attempt is retried
 * @param client sends attempts
 * @param clock measures deadlines and latencies
 * @param scheduler schedules retries
 * @param pendingWork counts calls in flight, including claimed actions whose caller has
 *     disconnected
 */
record ServiceCallContext(
    Router router,
    RetryBudget retries,
    ServiceClient client,
    MonotonicClock clock,
    Scheduler scheduler,
    PendingWork pendingWork) {}
