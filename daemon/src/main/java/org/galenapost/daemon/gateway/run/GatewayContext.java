package org.galenapost.daemon.gateway.run;

import java.util.function.IntSupplier;
import org.galenapost.core.dispatch.InstanceChooser;
import org.galenapost.core.dispatch.InstanceHealth;
import org.galenapost.core.dispatch.InstanceNews;
import org.galenapost.core.dispatch.SendBudget;
import org.galenapost.core.dispatch.UseLedger;
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
 * @param ledger what they have in hand
 * @param health which failed lately
 * @param news spreads what is found out about servers
 * @param budget bounds repeated sends
 * @param guard stops calls that crash servers
 * @param stalls tells whether this process was stalled
 * @param paces how fast each server usually is
 * @param meters counts what happens
 * @param daemons the number of live daemons, this one included
 */
public record GatewayContext(
    MonotonicClock clock,
    Scheduler scheduler,
    CallFormat format,
    ServerConnectionPool pool,
    ConnectProbes probes,
    InstanceDirectory directory,
    InstanceChooser chooser,
    UseLedger ledger,
    InstanceHealth health,
    InstanceNews news,
    SendBudget budget,
    RequestGuard guard,
    StallGuard stalls,
    InstancePaces paces,
    GatewayMeters meters,
    IntSupplier daemons) {}
