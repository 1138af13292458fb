package org.galenapost.daemon.gateway.run;

import java.util.function.IntSupplier;
import org.galenapost.core.dispatch.InstanceChooser;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.InstanceStatusBroadcaster;
import org.galenapost.core.dispatch.SendBudget;
import org.galenapost.core.dispatch.ServerUseTracker;
import org.galenapost.core.instance.InstanceDirectory;
import org.galenapost.core.loss.StallGuard;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.gateway.call.CallFormat;
import org.galenapost.daemon.gateway.upstream.ConnectProbes;
import org.galenapost.daemon.gateway.upstream.ServerConnectionPool;

/**
 * What calls are run with.
 *
 * @param clock elapsed time
 * @param scheduler runs timers on the event loop
 * @param format spells sends
 * @param pool sends
 * @param probes tells whether a silent server's host answers
 * @param directory the servers
 * @param chooser chooses among them
 * @param useTracker what they have in hand
 * @param health which failed lately
 * @param statusBroadcaster spreads what is found out about servers
 * @param budget bounds repeated sends
 * @param requestGuard stops calls that crash servers
 * @param stallGuard tells whether this process was stalled
 * @param paces how fast each server usually is
 * @param meters counts what happens
 * @param liveDaemonCount the number of live daemons, this one included
 */
public record GatewayContext(
    MonotonicClock clock,
    Scheduler scheduler,
    CallFormat format,
    ServerConnectionPool pool,
    ConnectProbes probes,
    InstanceDirectory directory,
    InstanceChooser chooser,
    ServerUseTracker useTracker,
    InstanceHealth health,
    InstanceStatusBroadcaster statusBroadcaster,
    SendBudget budget,
    RequestGuard requestGuard,
    StallGuard stallGuard,
    InstancePaces paces,
    GatewayMeters meters,
    IntSupplier liveDaemonCount) {}
