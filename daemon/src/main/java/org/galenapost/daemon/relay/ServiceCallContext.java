package org.galenapost.daemon.relay;

import org.galenapost.core.retry.RetryBudget;
import org.galenapost.core.routing.Router;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.lifecycle.PendingWork;

/**
 * What every run of a service call uses.
 *
 * @param router chooses servers
 * @param retries decides about repeated attempts
 * @param client sends attempts
 * @param clock the clock of deadlines
 * @param scheduler delays repeated attempts
 * @param pendingWork counts actions that are under way, also those whose caller has left
 */
record ServiceCallContext(
    Router router,
    RetryBudget retries,
    ServiceClient client,
    MonotonicClock clock,
    Scheduler scheduler,
    PendingWork pendingWork) {}
